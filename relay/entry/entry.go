// Package entry takes requests of callers, applies the rules of keys and verdicts, and passes each request to the cell
// that runs it.
package entry

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// maxCellAttempts bounds the cells that one request is offered to. Each attempt adds its own wait to the worst
	// case, so more attempts cost tail latency without much more chance of success.
	maxCellAttempts = 3
	// lateGrace is how long a keyed run goes on after its caller's deadline, so that a repeat of the key can still
	// get the answer.
	lateGrace = 30 * time.Second
	// minFarWait is the shortest expected wait for a slot at which a request tries a cell of another data centre, to
	// which the way there and back takes 1 to 3 ms. The estimate is the time until the next slot is free.
	minFarWait = 2 * time.Millisecond
	// MaxKeysPerCall bounds the keys issued in one call.
	MaxKeysPerCall = 1000
	// defaultDeadline applies to classes without a deadline in the table.
	defaultDeadline = 30 * time.Second
	retryShards     = 16
	// retryAfterNoOwner is about the time that a claim of an unowned cell takes.
	retryAfterNoOwner = 2 * time.Second
)

// Tables returns the operators' table in force.
type Tables interface {
	// InForce returns an error with verdict NotRun if this host has no table that it can vouch for.
	InForce() (*table.Table, error)
}

// Cells runs requests in cells, on this host or on the owner's.
type Cells interface {
	// Choose returns the cells to try for a class, best first.
	Choose(class ident.ClassName, n int) []ident.CellID
	// Local reports whether a cell lies in the data centre of this host.
	Local(cell ident.CellID) bool
	// Execute runs a request in a cell. Its error carries the verdict.
	Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error)
}

// Issuers passes keyed requests to the host that answers for their issuer.
type Issuers interface {
	// ExecuteKeyed returns an error with verdict MayHaveRun if the issuer is gone or cannot be reached: an earlier
	// attempt under the key may have run there.
	ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error)
}

// Recorder counts outcomes.
type Recorder interface {
	// Request records one finished request: its class, verdict, the code of its error ("" if answered) and its
	// duration.
	Request(class ident.ClassName, v verdict.Verdict, code verdict.Code, d time.Duration)
	// LateAnswer records an answer that arrived after its caller's deadline.
	LateAnswer(class ident.ClassName)
}

// Options are the parts of a Service.
type Options struct {
	Self     ident.Instance
	Ledgers  *ledger.Set
	Tables   Tables
	Cells    Cells
	Issuers  Issuers
	Recorder Recorder
	// LongestRequest bounds the deadline of every request, because new owners of cells rely on it; 0 means no bound.
	LongestRequest time.Duration
}

// Service serves callers. It is safe for concurrent use.
type Service struct {
	options Options
	retries *retryBudgets
	// moves bounds the requests that go on to another cell for a free slot: with all cells full, each would only cost a
	// call more.
	moves    *retryBudgets
	sequence atomic.Uint64

	// mu guards the fields below, so that Drain cannot miss a request that has just begun.
	mu       sync.Mutex
	draining bool
	active   int
	// idle is closed by the last active request while the host drains.
	idle chan struct{}
}

// New returns a Service.
func New(options Options) *Service {
	return &Service{options: options, retries: newRetryBudgets(), moves: newRetryBudgets(), idle: make(chan struct{})}
}

// Call is a caller's request as an adapter received it.
type Call struct {
	Class   ident.ClassName
	Method  string
	Path    string
	Headers []request.Header
	Body    []byte
	// Timeout is the caller's own limit; 0 means the deadline of the class.
	Timeout time.Duration
	// Key is the caller's idempotency key; "" if none was sent.
	Key string
}

// Reply is the answer to a Call.
type Reply struct {
	Answer request.Answer
	// Key is the idempotency key that the request ran under; "" if none.
	Key string
}

// Do runs a caller's request. The error is a *verdict.Error; Reply.Key is set also with an error.
func (s *Service) Do(ctx context.Context, call Call) (Reply, error) {
	began := time.Now()
	if !s.begin() {
		return Reply{}, beforeLedger(call, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host is draining").WithRetryAfter(time.Second))
	}
	defer s.end()
	row, err := s.row(call.Class)
	if err != nil {
		// The class is not recorded: names that are not in the table would let callers create any number of metrics.
		s.record("", err, time.Since(began))
		return Reply{}, beforeLedger(call, verdict.FromError(err))
	}
	reply, err := s.do(ctx, call, row)
	s.record(row.Name, err, time.Since(began))
	return reply, err
}

func (s *Service) record(class ident.ClassName, err error, d time.Duration) {
	if err == nil {
		s.options.Recorder.Request(class, verdict.Ran, "", d)
		return
	}
	e := verdict.FromError(err)
	s.options.Recorder.Request(class, e.Verdict, e.Code, d)
}

// beforeLedger corrects a refusal that came before the ledger was asked. An earlier attempt under the caller's key may
// have run, so that "not run" would be false for the request although it holds for this attempt.
func beforeLedger(call Call, e *verdict.Error) *verdict.Error {
	if _, err := ledger.ParseKey(call.Key); err != nil || e.Verdict != verdict.NotRun {
		return e
	}
	return verdict.Wrap(e, verdict.MayHaveRun, e.Code, "an earlier attempt under this key may have run").WithRetryAfter(e.RetryAfter)
}

func (s *Service) do(ctx context.Context, call Call, row table.Row) (Reply, error) {
	r := s.newRequest(call, row)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if call.Key == "" && row.Idempotent {
		answer, err := s.dispatch(ctx, r)
		return Reply{Answer: answer}, err
	}
	key, err := s.key(call.Key)
	if err != nil {
		return Reply{}, err
	}
	answer, err := s.ExecuteKeyed(ctx, key, r)
	return Reply{Answer: answer, Key: key.String()}, err
}

func (s *Service) row(class ident.ClassName) (table.Row, error) {
	t, err := s.options.Tables.InForce()
	if err != nil {
		return table.Row{}, err
	}
	row, ok := t.Lookup(class)
	if !ok {
		return table.Row{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no class %q in the table, revision %d", class, t.Revision())
	}
	if row.Kind != table.LatencyCritical {
		return table.Row{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "class %q is for batch work: submit it as a job", class)
	}
	return row, nil
}

func (s *Service) newRequest(call Call, row table.Row) request.Request {
	limit := row.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if s.options.LongestRequest > 0 {
		limit = min(limit, s.options.LongestRequest)
	}
	if call.Timeout > 0 {
		limit = min(limit, call.Timeout)
	}
	return request.Request{
		ID:         fmt.Sprintf("%s-%x-%d", s.options.Self.Host, uint64(s.options.Self.Incarnation), s.sequence.Add(1)),
		Class:      call.Class,
		Method:     call.Method,
		Path:       call.Path,
		Headers:    call.Headers,
		Body:       call.Body,
		Deadline:   time.Now().Add(limit),
		Idempotent: row.Idempotent,
	}
}

// key returns the caller's key, or a new one for a request that must not run twice.
func (s *Service) key(text string) (ledger.Key, error) {
	if text == "" {
		return s.issueKey()
	}
	key, err := ledger.ParseKey(text)
	if err != nil {
		return ledger.Key{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "get keys from POST /v1/keys")
	}
	return key, nil
}

func (s *Service) issueKey() (ledger.Key, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return ledger.Key{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "random source")
	}
	return s.options.Ledgers.Own().Issue(time.Now(), random)
}

// IssueKeys returns n new idempotency keys.
func (s *Service) IssueKeys(n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerCall {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "count %d is out of range 1 to %d", n, MaxKeysPerCall)
	}
	keys := make([]string, 0, n)
	for range n {
		key, err := s.issueKey()
		if err != nil {
			return nil, err
		}
		keys = append(keys, key.String())
	}
	return keys, nil
}

// ExecuteKeyed runs a request under a key at most once: here if this host answers for the issuer, else there.
func (s *Service) ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error) {
	s.track()
	defer s.end()
	l, ok := s.options.Ledgers.ForIssuer(key.Issuer)
	if !ok {
		return s.options.Issuers.ExecuteKeyed(ctx, key, r)
	}
	fingerprint := fingerprintOf(r)
	for {
		now := time.Now()
		if ctx.Err() != nil || !now.Before(r.Deadline) {
			// The caller has been answered, and may have been told since, of a later attempt, that nothing ran. The
			// time counts as well as the context: a host that was paused resumes before its timers fire.
			return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the request reached the ledger after its end")
		}
		claim := l.Begin(now, key, fingerprint)
		switch claim.Action {
		case ledger.Run:
			return s.runKeyed(ctx, l, key, r)
		case ledger.Replay:
			return claim.Answer, nil
		case ledger.Refuse:
			return request.Answer{}, claim.Err
		case ledger.Wait:
			select {
			case <-claim.Settled:
				if refused := claim.Refused(); refused != nil {
					return request.Answer{}, refused
				}
			case <-ctx.Done():
				return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the earlier attempt under this key is still in progress")
			}
		}
	}
}

type outcome struct {
	answer request.Answer
	err    error
}

// runKeyed runs a claimed request. The run does not end with the caller's connection or deadline: its outcome must
// reach the ledger, so that a repeat of the key learns it.
func (s *Service) runKeyed(ctx context.Context, l *ledger.Ledger, key ledger.Key, r request.Request) (request.Answer, error) {
	finished := make(chan outcome, 1)
	s.track()
	go func() {
		defer s.end()
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(lateGrace))
		defer cancel()
		answer, err := s.dispatch(detached, r)
		l.Finish(key, answer, verdict.FromError(err))
		if err == nil && time.Now().After(r.Deadline) {
			s.options.Recorder.LateAnswer(r.Class)
		}
		finished <- outcome{answer: answer, err: err}
	}()
	select {
	case o := <-finished:
		return o.answer, o.err
	case <-ctx.Done():
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer before the deadline; repeat the request with its key")
	}
}

// fingerprintOf hashes what must be equal in every repeat of a key.
func fingerprintOf(r request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Class), r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Drain stops taking requests, closes the ledgers and waits until the requests in progress have ended, or until ctx
// ends. Keys without a record are refused from then on, also those that other hosts pass on.
func (s *Service) Drain(ctx context.Context) error {
	// The ledgers close first: a keyed request that is not counted below finds its ledger closed.
	for _, l := range append(s.options.Ledgers.Adopted(), s.options.Ledgers.Own()) {
		l.Close()
	}
	s.mu.Lock()
	s.draining = true
	s.closeIfIdle()
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("requests still in progress: %w", ctx.Err())
	}
}

// begin counts a request as active, unless the host drains.
func (s *Service) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.active++
	return true
}

// track counts a keyed request before it asks the ledger, also while the host drains.
func (s *Service) track() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.closeIfIdle()
}

// closeIfIdle requires mu.
func (s *Service) closeIfIdle() {
	if !s.draining || s.active > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}
