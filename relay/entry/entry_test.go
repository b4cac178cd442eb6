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

type staticTable struct{ t *table.Table }

func (s staticTable) InForce() (*table.Table, error) { return s.t, nil }

type discard struct{}

func (discard) Request(ident.ClassName, verdict.Verdict, verdict.Code, time.Duration) {}
func (discard) LateAnswer(ident.ClassName)                                            {}

type goneIssuer struct{}

func (goneIssuer) ExecuteKeyed(context.Context, ledger.Key, request.Request) (request.Answer, error) {
	return request.Answer{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnknown, "the issuer is gone")
}

// scriptedCells answers each call by the next function and records the cells asked.
type scriptedCells struct {
	mu     sync.Mutex
	script []func() (request.Answer, error)
	// act answers each call instead of the script if it is set.
	act   func(request.Request) (request.Answer, error)
	asked []ident.CellID
	// waits says for each call whether the request was to wait for a slot.
	waits []bool
}

func (c *scriptedCells) Choose(ident.ClassName, int) []ident.CellID { return []ident.CellID{0, 1, 2} }

func (c *scriptedCells) Local(cell ident.CellID) bool { return cell < 2 }

func (c *scriptedCells) Execute(_ context.Context, cell ident.CellID, r request.Request) (request.Answer, error) {
	c.mu.Lock()
	c.asked = append(c.asked, cell)
	c.waits = append(c.waits, !r.Immediate)
	if c.act != nil {
		c.mu.Unlock()
		return c.act(r)
	}
	next := c.script[min(len(c.asked), len(c.script))-1]
	c.mu.Unlock()
	return next()
}

func (c *scriptedCells) calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.asked)
}

func answers(d time.Duration) func() (request.Answer, error) {
	return func() (request.Answer, error) {
		time.Sleep(d)
		return request.Answer{Status: 200, Body: []byte("ok")}, nil
	}
}

func fails(v verdict.Verdict, code verdict.Code) func() (request.Answer, error) {
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
		Tables:   staticTable{table.New(1, rows)},
		Cells:    cells,
		Issuers:  goneIssuer{},
		Recorder: discard{},
	}), cells
}

func key(t *testing.T, s *Service) string {
	keys, err := s.IssueKeys(1)
	require.NoError(t, err)
	return keys[0]
}

// Guards against an answer that comes after the deadline being lost, and against the repeat running again.
func TestLateAnswerServesTheRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answers(3 * time.Second))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: key(t, s)}
		_, err := s.Do(t.Context(), call)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		time.Sleep(5 * time.Second)
		reply, err := s.Do(t.Context(), call)
		require.NoError(t, err)
		require.Equal(t, "ok", string(reply.Answer.Body))
		require.Equal(t, 1, cells.calls())
	})
}

// Guards against a caller that closes its connection making the outcome of its request unknown for good.
func TestRunOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answers(100 * time.Millisecond))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: key(t, s)}
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

// Guards against a second run of a request that may have run, and against giving up although none ran.
func TestRetryFollowsTheVerdict(t *testing.T) {
	fenced := fails(verdict.NotRun, verdict.CodeFenced)
	lost := fails(verdict.MayHaveRun, verdict.CodeIncomplete)
	limited := fails(verdict.NotRun, verdict.CodeLimited)
	for _, tc := range []struct {
		name   string
		class  ident.ClassName
		script []func() (request.Answer, error)
		calls  int
		want   verdict.Verdict
	}{
		{"fenced owner, then answer", "write", []func() (request.Answer, error){fenced, answers(0)}, 2, verdict.Ran},
		{"lost answer of a write", "write", []func() (request.Answer, error){lost, answers(0)}, 1, verdict.MayHaveRun},
		{"lost answer of a read", "read", []func() (request.Answer, error){lost, answers(0)}, 2, verdict.Ran},
		{"limit of the class", "read", []func() (request.Answer, error){limited, answers(0)}, 1, verdict.NotRun},
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

// Guards against a request that waits beside a free slot, one that waits in no cell because all were full, and against a
// second run after an attempt that went on to another cell.
func TestBusyCellPassesRequestsOn(t *testing.T) {
	busy := fails(verdict.NotRun, verdict.CodeBusy)
	lost := fails(verdict.MayHaveRun, verdict.CodeIncomplete)
	for _, tc := range []struct {
		name   string
		script []func() (request.Answer, error)
		asked  []ident.CellID
		waits  []bool
		want   verdict.Verdict
	}{
		{"free slot elsewhere", []func() (request.Answer, error){busy, answers(0)}, []ident.CellID{0, 1}, []bool{false, false}, verdict.Ran},
		{"no free slot", []func() (request.Answer, error){busy, busy, answers(0)}, []ident.CellID{0, 1, 0}, []bool{false, false, true}, verdict.Ran},
		{"lost elsewhere", []func() (request.Answer, error){busy, lost}, []ident.CellID{0, 1}, []bool{false, false}, verdict.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cells := newService(tc.script...)
				_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
				require.Equal(t, tc.asked, cells.asked)
				require.Equal(t, tc.waits, cells.waits)
				if tc.want == verdict.Ran {
					require.NoError(t, err)
					return
				}
				require.Equal(t, tc.want, verdict.FromError(err).Verdict)
			})
		})
	}
}

// Guards against an overload in which each request asks several full cells before it waits.
func TestMovesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService()
		busy := fails(verdict.NotRun, verdict.CodeBusy)
		cells.act = func(r request.Request) (request.Answer, error) {
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

// Guards against retries that multiply the load of targets that lose their answers, and against more than three attempts
// of a request that nobody takes.
func TestRetriesAreBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		verdict verdict.Verdict
		code    verdict.Code
		most    int
	}{
		"lost answers": {verdict.MayHaveRun, verdict.CodeIncomplete, 1000/10 + 10},
		"no owner":     {verdict.NotRun, verdict.CodeUnavailable, 1000 * (maxCellAttempts - 1)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, cells := newService(fails(tc.verdict, tc.code))
				for range 1000 {
					_, err := s.Do(t.Context(), Call{Class: "read", Method: "GET", Path: "/"})
					require.Error(t, err)
				}
				require.LessOrEqual(t, cells.calls()-1000, tc.most)
			})
		})
	}
}

// Guards against refusals while some cells are lost: half of the requests need a second cell, more than any budget.
func TestLostCellRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answers(0))
		lost := fails(verdict.NotRun, verdict.CodeUnavailable)
		cells.script = nil
		for range 500 {
			cells.script = append(cells.script, lost, answers(0), answers(0))
		}
		for range 1000 {
			_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
			require.NoError(t, err)
		}
	})
}

// Guards against a stop that cuts off a request in progress, or that takes new ones.
func TestDrainFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newService(answers(500 * time.Millisecond))
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

// Guards against a key of a host that is gone being run by another one.
func TestForeignKeyIsNeverRunHere(t *testing.T) {
	s, cells := newService(answers(0))
	foreign := ledger.New(ident.Instance{Host: "relay-9", Incarnation: 4}, ledger.Limits{Records: 1, Bytes: 1 << 20})
	k, err := foreign.Issue(time.Now(), [16]byte{1})
	require.NoError(t, err)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: k.String()})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: "chosen-by-the-caller"})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Zero(t, cells.calls())
}

// Guards against "not run" from a host that has not asked the ledger: an earlier attempt through another host may have
// run.
func TestRefusalBeforeTheLedgerIsNoProof(t *testing.T) {
	s, cells := newService(answers(0))
	k := key(t, s)
	require.NoError(t, s.Drain(t.Context()))
	_, err := s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/", Key: k})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	_, err = s.Do(t.Context(), Call{Class: "write", Method: "POST", Path: "/"})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Zero(t, cells.calls())
}

// Guards against requests of unknown or batch classes reaching a target.
func TestUnsuitableClassIsRefused(t *testing.T) {
	s, cells := newService(answers(0))
	for _, class := range []ident.ClassName{"missing", "nightly", ""} {
		_, err := s.Do(t.Context(), Call{Class: class, Method: "POST", Path: "/"})
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, fmt.Sprintf("class %q", class))
	}
	require.Zero(t, cells.calls())
}

// Guards against a repeat that waited for a run beginning one of its own at the moment at which the caller of the first
// is told that nothing ran.
func TestWaitingRepeatSharesTheRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := func() (request.Answer, error) {
			time.Sleep(100 * time.Millisecond)
			return fails(verdict.NotRun, verdict.CodeLimited)()
		}
		s, cells := newService(refused, answers(0))
		call := Call{Class: "write", Method: "POST", Path: "/", Key: key(t, s)}
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

// Guards against a host that was paused running a request whose caller has gone, after the caller was told of a later
// attempt that nothing ran.
func TestAbandonedKeyedRequestIsNotBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cells := newService(answers(0))
		k, err := ledger.ParseKey(key(t, s))
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
