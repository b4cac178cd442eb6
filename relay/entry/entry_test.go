package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

type fixedTable struct{ t *table.Table }

func (s fixedTable) InForce() (*table.Table, error) { return s.t, nil }

type discardOutcomes struct{}

func (discardOutcomes) Request(ident.ClassName, verdict.Verdict, verdict.Code, time.Duration) {}
func (discardOutcomes) LateAnswer(ident.ClassName)                                            {}

type unreachableIssuers struct{}

func (unreachableIssuers) ExecuteKeyed(context.Context, ledger.Key, request.Request) (request.Answer, error) {
	return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the issuer is gone")
}

// scriptedCells answers each call with the next function of a script and records the cells that were tried.
type scriptedCells struct {
	mu     sync.Mutex
	script []func() (request.Answer, error)
	// respond, if set, answers each call instead of the script.
	respond    func(request.Request) (request.Answer, error)
	triedCells []ident.CellID
	// mayWait says for each call whether the request was allowed to wait for a slot.
	mayWait []bool
}

func (c *scriptedCells) Choose(ident.ClassName, int) []ident.CellID { return []ident.CellID{0, 1, 2} }

func (c *scriptedCells) Local(cell ident.CellID) bool { return cell < 2 }

func (c *scriptedCells) Execute(_ context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	c.mu.Lock()
	c.triedCells = append(c.triedCells, cell)
	c.mayWait = append(c.mayWait, !r.Immediate)
	if c.respond != nil {
		c.mu.Unlock()
		return c.respond(r)
	}
	next := c.script[min(len(c.triedCells), len(c.script))-1]
	c.mu.Unlock()
	return next()
}

func (c *scriptedCells) calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.triedCells)
}

func answerAfter(d time.Duration) func() (request.Answer, error) {
	return func() (request.Answer, error) {
		time.Sleep(d)
		return request.Answer{Status: 200, Body: []byte("ok")}, nil
	}
}

func failWith(v verdict.Verdict, code verdict.Code) func() (request.Answer, error) {
	return func() (request.Answer, error) { return request.Answer{}, verdict.New(v, code, "scripted") }
}

func newService(script ...func() (request.Answer, error)) (*Service, *scriptedCells) {
	cells := &scriptedCells{script: script}
	self := ident.Instance{Host: "relay-1", Incarnation: 1}
	rows := []table.Row{
		{Name: "read", Kind: table.LatencyCritical, Idempotent: true, Deadline: time.Second},
		{Name: "write", Kind: table.LatencyCritical, Deadline: time.Second},
		{Name: "nightly", Kind: table.Batch},
	}
	return New(Options{
		Self:     self,
		Ledgers:  ledger.NewSet(ledger.New(self, ledger.Limits{Retention: ledger.DefaultRetention, Records: 10_000, Bytes: 16 << 20})),
		Tables:   fixedTable{table.New(1, rows)},
		Cells:    cells,
		Issuers:  unreachableIssuers{},
		Recorder: discardOutcomes{},
	}), cells
}

func issueKey(t *testing.T, s *Service) string {
	keys, err := s.IssueKeys(1)
	require.NoError(t, err)
	return keys[0]
}

// Guards against losing an answer that arrives after the deadline, and against running the request again for a repeat
// of its key.
func TestLateAnswerServesTheRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answerAfter(3 * time.Second))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: issueKey(t, s)}
		_, err := s.Do(t.Context(), call)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		time.Sleep(5 * time.Second)
		reply, err := s.Do(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, "ok", string(reply.Answer.Body))
		require.Equal(t, 1, cells.calls())
	})
}

// Guards against a caller that makes the outcome of its request unknown for good by closing its connection.
func TestKeyedRunContinuesAfterItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answerAfter(100 * time.Millisecond))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: issueKey(t, s)}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := s.Do(ctx, call)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		reply, err := s.Do(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, 200, reply.Answer.Status)
		require.Equal(t, 1, cells.calls())
	})
}

// Guards against a second run of a request that may have run, and against giving up although no attempt ran.
func TestRetryFollowsTheVerdict(t *testing.T) {
	fenced := failWith(verdict.NotRun, verdict.CodeFenced)
	lost := failWith(verdict.MayHaveRun, verdict.CodeIncomplete)
	limited := failWith(verdict.NotRun, verdict.CodeLimited)
	for _, tc := range []struct {
		name   string
		class  ident.ClassName
		script []func() (request.Answer, error)
		calls  int
		want   verdict.Verdict
	}{
		{"fenced owner, then answer", "write", []func() (request.Answer, error){fenced, answerAfter(0)}, 2, verdict.Ran},
		{"lost answer of a write", "write", []func() (request.Answer, error){lost, answerAfter(0)}, 1, verdict.MayHaveRun},
		{"lost answer of a read", "read", []func() (request.Answer, error){lost, answerAfter(0)}, 2, verdict.Ran},
		{"limit of the class", "read", []func() (request.Answer, error){limited, answerAfter(0)}, 1, verdict.NotRun},
		{"lost, then refused", "read", []func() (request.Answer, error){lost, fenced}, 3, verdict.MayHaveRun},
		{"every owner fenced", "write", []func() (request.Answer, error){fenced}, 3, verdict.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cells := newService(tc.script...)
				_, err := s.Do(t.Context(), Call{Class: tc.class, Method: "POST", Path: "/"})
				require.Equal(t, tc.calls, cells.calls())
				if tc.want == verdict.Ran {
					require.NoError(t, err)
					return
				}
				require.Equal(t, tc.want, verdict.FromError(err).Verdict)
			})
		})
	}
}

// Guards against a request that waits although another cell has a free slot, against one that waits in no cell
// because all were full, and against a second run after an attempt that moved to another cell.
func TestRequestMovesFromBusyCell(t *testing.T) {
	busy := failWith(verdict.NotRun, verdict.CodeBusy)
	lost := failWith(verdict.MayHaveRun, verdict.CodeIncomplete)
	for _, tc := range []struct {
		name   string
		script []func() (request.Answer, error)
		asked  []ident.CellID
		waits  []bool
		want   verdict.Verdict
	}{
		{"free slot elsewhere", []func() (request.Answer, error){busy, answerAfter(0)}, []ident.CellID{0, 1}, []bool{false, false}, verdict.Ran},
		{"no free slot", []func() (request.Answer, error){busy, busy, answerAfter(0)}, []ident.CellID{0, 1, 0}, []bool{false, false, true}, verdict.Ran},
		{"lost elsewhere", []func() (request.Answer, error){busy, lost}, []ident.CellID{0, 1}, []bool{false, false}, verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cells := newService(tc.script...)
				_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
				require.Equal(t, tc.asked, cells.triedCells)
				require.Equal(t, tc.waits, cells.mayWait)
				if tc.want == verdict.Ran {
					require.NoError(t, err)
					return
				}
				require.Equal(t, tc.want, verdict.FromError(err).Verdict)
			})
		})
	}
}

// Guards against an overload in which each request tries several full cells before it waits.
func TestMovesBetweenBusyCellsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService()
		busy := failWith(verdict.NotRun, verdict.CodeBusy)
		cells.respond = func(r request.Request) (request.Answer, error) {
			if r.Immediate {
				return busy()
			}
			return request.Answer{Status: 200}, nil
		}
		for range 1000 {
			_, err := s.Do(t.Context(), Call{Class: "read", Method: "GET", Path: "/"})
			require.NoError(t, err)
		}
		require.LessOrEqual(t, cells.calls()-1000, 2*(1000/10+10))
	})
}

// Guards against retries that multiply the load of targets whose answers are lost, and against more than three
// attempts for a request that no cell accepts.
func TestRetriesAreBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		verdict    verdict.Verdict
		code       verdict.Code
		maxRetries int
	}{
		"lost answers": {verdict.MayHaveRun, verdict.CodeIncomplete, 1000/10 + 10},
		"no owner":     {verdict.NotRun, verdict.CodeUnavailable, 1000 * (maxCellAttempts - 1)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cells := newService(failWith(tc.verdict, tc.code))
				for range 1000 {
					_, err := s.Do(t.Context(), Call{Class: "read", Method: "GET", Path: "/"})
					require.Error(t, err)
				}
				require.LessOrEqual(t, cells.calls()-1000, tc.maxRetries)
			})
		})
	}
}

// Guards against refusals while some cells are lost. Half of the requests need a second cell here, which is more than
// any retry budget allows.
func TestLostCellCausesNoRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answerAfter(0))
		lost := failWith(verdict.NotRun, verdict.CodeUnavailable)
		cells.script = nil
		for range 500 {
			cells.script = append(cells.script, lost, answerAfter(0), answerAfter(0))
		}
		for range 1000 {
			_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
			require.NoError(t, err)
		}
	})
}

// Guards against a drain that aborts a request in progress, or that accepts new ones.
func TestDrainFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newService(answerAfter(500 * time.Millisecond))
		result := make(chan error, 1)
		go func() {
			_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
			result <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context()) }()
		synctest.Wait()
		_, err := s.Do(t.Context(), Call{Class: "read", Method: "GET", Path: "/"})
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.NoError(t, <-result)
		require.NoError(t, <-drained)
	})
}

// Guards against running a request under a key whose issuer cannot be reached.
func TestKeyOfUnreachableIssuerIsNotRun(t *testing.T) {
	s, cells := newService(answerAfter(0))
	foreign := ledger.New(ident.Instance{Host: "relay-9", Incarnation: 4}, ledger.Limits{Records: 1, Bytes: 1 << 20})
	k, err := foreign.Issue(time.Now(), [16]byte{1})
	require.NoError(t, err)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: k.String()})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: "chosen-by-the-caller"})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Zero(t, cells.calls())
}

// Guards against the verdict NotRun from a host that has not asked the ledger: an earlier attempt through another
// host may have run.
func TestRefusalBeforeLedgerLookupIsMayHaveRun(t *testing.T) {
	s, cells := newService(answerAfter(0))
	k := issueKey(t, s)
	require.NoError(t, s.Drain(t.Context()))
	_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: k})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Zero(t, cells.calls())
}

// Guards against sending requests of unknown or batch classes to a target.
func TestUnknownOrBatchClassIsRefused(t *testing.T) {
	s, cells := newService(answerAfter(0))
	for _, class := range []ident.ClassName{"missing", "nightly", ""} {
		_, err := s.Do(t.Context(), Call{Class: class, Method: "POST", Path: "/"})
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, fmt.Sprintf("class %q", class))
	}
	require.Zero(t, cells.calls())
}

// Guards against a repeat that waited for a run and then starts its own, while the caller of the first is told that
// nothing ran.
func TestWaitingRepeatSharesTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := func() (request.Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return failWith(verdict.NotRun, verdict.CodeLimited)()
		}
		s, cells := newService(refused, answerAfter(0))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: issueKey(t, s)}
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := s.Do(t.Context(), call)
				results <- err
			}()
		}
		for range 2 {
			err := <-results
			require.Error(t, err)
			require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		}
		require.Equal(t, 1, cells.calls())
		_, err := s.Do(t.Context(), call)
		require.NoError(t, err, "a later repeat may run")
	})
}

// Guards against a host that resumes from a pause and runs a request whose caller has gone and has been told of a
// later attempt that nothing ran.
func TestAbandonedKeyedRequestIsNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answerAfter(0))
		k, err := ledger.ParseKey(issueKey(t, s))
		require.NoError(t, err)
		r := request.Request{ID: "r", Class: "write", Method: "POST", Path: "/", Deadline: time.Now().Add(time.Second)}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = s.ExecuteKeyed(gone, k, r)
		synctest.Wait()
		require.Zero(t, cells.calls())
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		time.Sleep(time.Second)
		_, err = s.ExecuteKeyed(t.Context(), k, r)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		synctest.Wait()
		require.Zero(t, cells.calls())
	})
}
