// Package entry accepts requests of callers, applies the rules for idempotency keys and verdicts, and passes each
// request to the cell that runs it.
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
	// maxCellAttempts bounds the cells that one request is offered to. Each attempt adds its wait to the worst case,
	// so that more attempts would cost tail latency and add little chance of success.
	maxCellAttempts = 3
	// lateAnswerWindow is how long a run under an idempotency key continues after the deadline of its caller, so that
	// a repeat with the key can still get the answer.
	lateAnswerWindow = 30 * time.Second
	// minWaitToLeaveDataCentre is the shortest expected wait for a slot at which a request tries a cell in another
	// data centre, to which the round trip takes 1 to 3 ms. The expected wait is the time until the next slot becomes
	// free.
	minWaitToLeaveDataCentre = 2 * time.Millisecond
	// MaxKeysPerCall bounds the keys issued in one call.
	MaxKeysPerCall = 1000
	// defaultDeadline applies to classes without a deadline in the table.
	defaultDeadline = 30 * time.Second
	budgetShards    = 16
	// noOwnerRetryAfter is about the time in which another host claims a cell without an owner.
	noOwnerRetryAfter = 2 * time.Second
)

// Tables provides the current table.
type Tables interface {
	// InForce returns the current table, or an error with verdict NotRun if this host has none that it can rely on.
	InForce() (*table.Table, error)
}

// Cells runs requests in cells, on this host or on the host that owns the cell.
type Cells interface {
	// Choose returns at most n cells to try for a class, best first.
	Choose(class ident.ClassName, n int) []ident.CellID
	// Local reports whether a cell lies in the data centre of this host.
	Local(cell ident.CellID) bool
	// Execute runs a request in a cell. The error carries the verdict.
	Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error)
}

// Issuers passes requests with an idempotency key to the host that holds the ledger of the key's issuer.
type Issuers interface {
	// ExecuteKeyed returns an error with verdict MayHaveRun if that host does not exist or cannot be reached: an
	// earlier attempt under the key may have run there.
	ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error)
}

// Recorder records outcomes.
type Recorder interface {
	// Request records a finished request with its class, verdict, error code ("" if answered) and duration.
	Request(class ident.ClassName, v verdict.Verdict, code verdict.Code, d time.Duration)
	// LateAnswer records an answer that arrived after the deadline of its caller.
	LateAnswer(class ident.ClassName)
}

// Options holds the dependencies and settings of a Service.
type Options struct {
	Self     ident.Instance
	Ledgers  *ledger.Set
	Tables   Tables
	Cells    Cells
	Issuers  Issuers
	Recorder Recorder
	// LongestRequest bounds the deadline of every request, because new owners of cells rely on that bound; 0 means no
	// bound.
	LongestRequest time.Duration
}

// Service runs the requests of callers. It is safe for concurrent use.
type Service struct {
	options      Options
	retryBudgets *classBudgets
	// moveBudgets bounds the requests that move to another cell for a free slot: when all cells are full, a move only
	// costs an additional call.
	moveBudgets       *classBudgets
	lastRequestNumber atomic.Uint64

	// mu guards the fields below, so that Drain does not miss a request that has just begun.
	mu             sync.Mutex
	draining       bool
	activeRequests int
	// drained is closed when the host drains and the last active request has ended.
	drained chan struct{}
}

// New returns a Service.
func New(options Options) *Service {
	return &Service{options: options, retryBudgets: newClassBudgets(), moveBudgets: newClassBudgets(), drained: make(chan struct{})}
}

// Call is a caller's request as received by an adapter.
type Call struct {
	Class   ident.ClassName
	Method  string
	Path    string
	Headers []request.Header
	Body    []byte
	// Timeout is the caller's own time limit; 0 means the deadline of the class.
	Timeout time.Duration
	// Key is the caller's idempotency key; "" if none was sent.
	Key string
}

// Reply is the answer to a Call.
type Reply struct {
	Answer request.Answer
	// Key is the idempotency key under which the request ran; "" if none.
	Key string
}

// Do runs a caller's request. The error is a *verdict.Error. Reply.Key may be set together with an error.
func (s *Service) Do(ctx context.Context, call Call) (Reply, error) {
	began := time.Now()
	if !s.beginUnlessDraining() {
		return Reply{}, refusalBeforeLedger(call, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host is draining").WithRetryAfter(time.Second))
	}
	defer s.endRequest()
	row, err := s.lookupClass(call.Class)
	if err != nil {
		// The class is not recorded, because callers could create any number of metrics with unknown names.
		s.recordOutcome("", err, time.Since(began))
		return Reply{}, refusalBeforeLedger(call, verdict.FromError(err))
	}
	reply, err := s.execute(ctx, call, row)
	s.recordOutcome(row.Name, err, time.Since(began))
	return reply, err
}

func (s *Service) recordOutcome(class ident.ClassName, err error, d time.Duration) {
	if err == nil {
		s.options.Recorder.Request(class, verdict.Ran, "", d)
		return
	}
	e := verdict.FromError(err)
	s.options.Recorder.Request(class, e.Verdict, e.Code, d)
}

// refusalBeforeLedger corrects a refusal that was made before the ledger was asked. An earlier attempt under the
// caller's key may have run, so that NotRun would hold for this attempt but not for the request.
func refusalBeforeLedger(call Call, e *verdict.Error) *verdict.Error {
	if _, err := ledger.ParseKey(call.Key); err != nil || e.Verdict != verdict.NotRun {
		return e
	}
	return verdict.Wrap(e, verdict.MayHaveRun, e.Code, "an earlier attempt under this key may have run").WithRetryAfter(e.RetryAfter)
}

func (s *Service) execute(ctx context.Context, call Call, row table.Row) (Reply, error) {
	r := s.newRequest(call, row)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if call.Key == "" && row.Idempotent {
		answer, err := s.dispatch(ctx, r)
		return Reply{Answer: answer}, err
	}
	key, err := s.parseOrIssueKey(call.Key)
	if err != nil {
		return Reply{}, err
	}
	answer, err := s.ExecuteKeyed(ctx, key, r)
	return Reply{Answer: answer, Key: key.String()}, err
}

func (s *Service) lookupClass(class ident.ClassName) (table.Row, error) {
	t, err := s.options.Tables.InForce()
	if err != nil {
		return table.Row{}, err
	}
	row, ok := t.Lookup(class)
	if !ok {
		return table.Row{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "class %q does not exist in revision %d of the table", class, t.Revision())
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
		ID:         fmt.Sprintf("%s-%x-%d", s.options.Self.Host, uint64(s.options.Self.Incarnation), s.lastRequestNumber.Add(1)),
		Class:      call.Class,
		Method:     call.Method,
		Path:       call.Path,
		Headers:    call.Headers,
		Body:       call.Body,
		Deadline:   time.Now().Add(limit),
		Idempotent: row.Idempotent,
	}
}

// parseOrIssueKey parses the caller's key, or issues one if the caller sent none, so that the request does not run
// twice.
func (s *Service) parseOrIssueKey(callerKey string) (ledger.Key, error) {
	if callerKey == "" {
		return s.issueKey()
	}
	key, err := ledger.ParseKey(callerKey)
	if err != nil {
		return ledger.Key{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "invalid idempotency key; get keys from POST /v1/keys")
	}
	return key, nil
}

func (s *Service) issueKey() (ledger.Key, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return ledger.Key{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read from the random source")
	}
	return s.options.Ledgers.Own().Issue(time.Now(), random)
}

// IssueKeys returns n new idempotency keys.
func (s *Service) IssueKeys(n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerCall {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "key count %d is not between 1 and %d", n, MaxKeysPerCall)
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

// ExecuteKeyed runs a request at most once under a key: on this host if it holds the ledger of the key's issuer,
// otherwise on the host that does.
func (s *Service) ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error) {
	s.beginKeyed()
	defer s.endRequest()
	ledgerOfIssuer, ok := s.options.Ledgers.ForIssuer(key.Issuer)
	if !ok {
		return s.options.Issuers.ExecuteKeyed(ctx, key, r)
	}
	fingerprint := fingerprintOf(r)
	for {
		now := time.Now()
		if ctx.Err() != nil || !now.Before(r.Deadline) {
			// The caller already has an answer, and a later attempt under the key may have been answered with NotRun
			// since. Therefore this one must not run any more. The time is checked as well as the context, because a
			// paused host resumes before its timers fire.
			return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the request reached the ledger after its deadline or after its caller had given up")
		}
		claim := ledgerOfIssuer.Begin(now, key, fingerprint)
		switch claim.Action {
		case ledger.Run:
			return s.runKeyed(ctx, ledgerOfIssuer, key, r)
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

// runKeyed runs a request that the ledger has assigned to this call. The run does not end with the connection or the
// deadline of the caller, because its outcome must reach the ledger for repeats of the key.
func (s *Service) runKeyed(ctx context.Context, ledgerOfIssuer *ledger.Ledger, key ledger.Key, r request.Request) (request.Answer, error) {
	done := make(chan outcome, 1)
	s.beginKeyed()
	go func() {
		defer s.endRequest()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(lateAnswerWindow))
		defer cancel()
		answer, err := s.dispatch(runCtx, r)
		ledgerOfIssuer.Finish(key, answer, verdict.FromError(err))
		if err == nil && time.Now().After(r.Deadline) {
			s.options.Recorder.LateAnswer(r.Class)
		}
		done <- outcome{answer: answer, err: err}
	}()
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer before the deadline; repeat the request with its key")
	}
}

// fingerprintOf hashes the parts of a request that must be equal in every repeat of a key.
func fingerprintOf(r request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Class), r.Method, r.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Drain refuses new requests, closes the ledgers and waits until the requests in progress have ended, or until ctx
// ends. From then on, keys without a record are refused, also those that other hosts pass on.
func (s *Service) Drain(ctx context.Context) error {
	// The ledgers close first, so that a keyed request that is not counted below finds its ledger closed.
	for _, l := range append(s.options.Ledgers.Adopted(), s.options.Ledgers.Own()) {
		l.Close()
	}
	s.mu.Lock()
	s.draining = true
	s.closeIfDrained()
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("requests still in progress: %w", ctx.Err())
	}
}

// beginUnlessDraining counts a request as active. It returns false if the host drains.
func (s *Service) beginUnlessDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.activeRequests++
	return true
}

// beginKeyed counts a keyed request before it asks the ledger, also while the host drains.
func (s *Service) beginKeyed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests++
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	s.closeIfDrained()
}

// closeIfDrained closes drained if the host drains and no request is active. It requires mu.
func (s *Service) closeIfDrained() {
	if !s.draining || s.activeRequests > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}
