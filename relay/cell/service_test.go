package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// fakeTargets is a Sender whose targets respond as the test says. It records the peak number of concurrent requests
// at each target.
type fakeTargets struct {
	mu          sync.Mutex
	current     map[ident.TargetID]int
	peak        map[ident.TargetID]int
	total       int
	totalPeak   int
	ids         []string
	serviceTime time.Duration
	respond     func(routing.Target, request.Request) routing.AttemptResult
}

func newFakeTargets(act func(routing.Target, request.Request) routing.AttemptResult) *fakeTargets {
	return &fakeTargets{current: map[ident.TargetID]int{}, peak: map[ident.TargetID]int{}, serviceTime: 10 * time.Millisecond, respond: act}
}

func succeed(t routing.Target, _ request.Request) routing.AttemptResult {
	return routing.AttemptResult{Answer: request.Answer{Status: 200, Target: t.ID}, Observation: routing.Observation{Signal: routing.SignalOK}}
}

func failWith(v verdict.Verdict, s routing.Signal) func(routing.Target, request.Request) routing.AttemptResult {
	return func(routing.Target, request.Request) routing.AttemptResult {
		return routing.AttemptResult{Err: verdict.New(v, verdict.CodeUnavailable, "failed"), Observation: routing.Observation{Signal: s}}
	}
}

func (f *fakeTargets) add(t routing.Target, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current[t.ID] += n
	f.peak[t.ID] = max(f.peak[t.ID], f.current[t.ID])
	f.total += n
	f.totalPeak = max(f.totalPeak, f.total)
}

// Send holds a slot of the target for the service time. If ctx ends first, the request remains there and ends late.
func (f *fakeTargets) Send(
	ctx context.Context, t routing.Target, r request.Request, late func(routing.AttemptResult),
) (routing.AttemptResult, bool) {
	f.add(t, 1)
	f.mu.Lock()
	f.ids = append(f.ids, r.ID)
	f.mu.Unlock()
	end := func() routing.AttemptResult {
		a := f.respond(t, r)
		a.Observation.Latency = f.serviceTime
		f.add(t, -1)
		return a
	}
	timer := time.NewTimer(f.serviceTime)
	select {
	case <-timer.C:
		return end(), false
	case <-ctx.Done():
	}
	go func() {
		<-timer.C
		late(end())
	}()
	return routing.AttemptResult{
		Err:         verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time"),
		Observation: routing.Observation{Signal: routing.SignalTimedOut, Latency: f.serviceTime},
	}, true
}

func testRows() []table.Row {
	row := func(name ident.ClassName, weight int) table.Row {
		return table.Row{Name: name, Kind: table.LatencyCritical, Weight: weight, Queue: 1000, Deadline: time.Second, Retries: 2}
	}
	return []table.Row{row("urgent", 4), row("batch", 1)}
}

func newService(f *fakeTargets, targets int, edit func(*Options)) *Service {
	o := Options{Cells: 2, Sender: f, Seed: 1}
	if edit != nil {
		edit(&o)
	}
	s := New(o)
	s.SetTable(table.New(1, testRows()))
	list := make([]routing.Target, targets)
	for i := range list {
		list[i] = routing.Target{ID: ident.TargetID(fmt.Sprintf("t%d", i)), Address: "unused"}
	}
	s.SetTargets(0, list)
	s.SetGrant(ownership.Grant{Cell: 0, Epoch: 1, Authority: ownership.Full})
	return s
}

func urgent(id string) request.Request {
	return request.Request{ID: id, Class: "urgent", Deadline: time.Now().Add(time.Second)}
}

// executeAll starts n requests at the same time and returns their errors.
func executeAll(s *Service, n int, make func(i int) request.Request) []*verdict.Error {
	failures := []*verdict.Error{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			if _, err := s.Execute(context.Background(), 0, make(i)); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, verdict.FromError(err))
			}
		})
	}
	all.Wait()
	return failures
}

// Guards against more requests at a target than it has slots, and against an owner in doubt that keeps using all
// slots.
func TestSlotsFollowTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 3, nil)
		many := func() {
			require.Empty(t, executeAll(s, 200, func(i int) request.Request { return urgent(fmt.Sprint(i)) }))
		}
		many()
		require.Equal(t, map[ident.TargetID]int{"t0": 8, "t1": 8, "t2": 8}, f.peak)
		s.SetGrant(ownership.Grant{Cell: 0, Epoch: 1, Authority: ownership.InDoubt, ShareShift: 1})
		clear(f.peak)
		many()
		require.Equal(t, map[ident.TargetID]int{"t0": 4, "t1": 4, "t2": 4}, f.peak)
		require.Equal(t, 12, s.Load(0).Capacity)
	})
}

// Guards against a host that runs requests without authority, also when its authority lapses without a call of
// SetGrant, and against waiting requests that hang when authority ends.
func TestNoRequestRunsWithoutAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		lapses := &lapsingGrants{until: time.Now().Add(15 * time.Millisecond)}
		s := newService(f, 1, func(o *Options) { o.Grants = lapses })
		failures := executeAll(s, 100, func(i int) request.Request { return urgent(fmt.Sprint(i)) })
		require.Len(t, failures, 84, "two rounds of 8 requests start within the 15 ms of authority")
		for _, e := range failures {
			require.Equal(t, verdict.NotRun, e.Verdict)
			require.Equal(t, verdict.CodeFenced, e.Code)
		}
		require.Len(t, f.ids, 16)
	})
}

type lapsingGrants struct{ until time.Time }

func (l *lapsingGrants) Grant(cell ident.CellID, now time.Time) ownership.Grant {
	g := ownership.Grant{Cell: cell, Epoch: 1}
	if now.Before(l.until) {
		g.Authority = ownership.Full
	}
	return g
}

// Guards against using slots that a silent predecessor may still use, and against requests that are not woken when
// that time has passed.
func TestSlotsOfSilentPredecessorAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 1, nil)
		start := time.Now()
		s.SetGrant(ownership.Grant{Cell: 0, Epoch: 2, Authority: ownership.Full, SlotsFrom: start.Add(300 * time.Millisecond)})
		_, err := s.Execute(context.Background(), 0, urgent("1"))
		require.NoError(t, err)
		require.Equal(t, 310*time.Millisecond, time.Since(start))
	})
}

// Guards against more than three attempts, against repeating a request that is not idempotent and may have run, and
// against the verdict NotRun after an earlier attempt that may have run.
func TestAttemptsFollowTheVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cases := []struct {
			verdict    verdict.Verdict
			idempotent bool
			attempts   int
		}{
			{verdict.NotRun, false, 3},
			{verdict.NotRun, true, 3},
			{verdict.MayHaveRun, true, 3},
			{verdict.MayHaveRun, false, 1},
		}
		for _, c := range cases {
			f := newFakeTargets(failWith(c.verdict, routing.SignalFailed))
			r := urgent("1")
			r.Idempotent = c.idempotent
			_, err := newService(f, 5, nil).Execute(context.Background(), 0, r)
			require.Equal(t, c.verdict, verdict.FromError(err).Verdict)
			require.Len(t, f.ids, c.attempts)
		}
		calls := 0
		f := newFakeTargets(func(routing.Target, request.Request) routing.AttemptResult {
			calls++
			v := verdict.NotRun
			if calls == 1 {
				v = verdict.MayHaveRun
			}
			return routing.AttemptResult{Err: verdict.New(v, verdict.CodeUnavailable, "failed")}
		})
		r := urgent("1")
		r.Idempotent = true
		_, err := newService(f, 5, nil).Execute(context.Background(), 0, r)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		require.Equal(t, []string{"1", "1.2", "1.3"}, f.ids)
	})
}

// Guards against the cancellation of many requests at once that loses slots, starts cancelled requests or opens
// circuit breakers.
func TestCancellationWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 2, nil)
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		for i := range 1000 {
			all.Go(func() {
				_, err := s.Execute(ctx, 0, urgent(fmt.Sprint(i)))
				require.Error(t, err)
			})
		}
		synctest.Wait()
		cancel()
		all.Wait()
		require.Len(t, f.ids, 16)
		require.Equal(t, 16, s.Load(0).Outstanding, "cancelled requests hold their slots until they end at the targets")
		time.Sleep(f.serviceTime)
		synctest.Wait()
		require.Equal(t, Load{Capacity: 16, Latency: s.Load(0).Latency}, s.Load(0))
		require.Empty(t, executeAll(s, 100, func(i int) request.Request { return urgent(fmt.Sprint(i)) }))
	})
}

// Guards against a late answer that is dropped, and against reusing its slot while the request still runs.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		f.serviceTime = 3 * time.Second
		var late []string
		s := newService(f, 1, func(o *Options) {
			o.OnLateAnswer = func(_ ident.CellID, r request.Request, a request.Answer) { late = append(late, r.ID+string(a.Target)) }
		})
		_, err := s.Execute(context.Background(), 0, urgent("1"))
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		require.Equal(t, 1, s.Load(0).Outstanding)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"1t0"}, late)
		require.Zero(t, s.Load(0).Outstanding)
	})
}

// Guards against a late answer that a repeat of the idempotency key never gets, because the owner of the cell
// reported only MayHaveRun to the host that holds the key.
func TestLateAnswerReachesACallerThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		f.serviceTime = 3 * time.Second
		s := newService(f, 1, nil)
		waiting, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		a, err := s.Execute(waiting, 0, urgent("1"))
		require.NoError(t, err)
		require.Equal(t, 200, a.Status)
		require.Zero(t, s.Load(0).Outstanding)
		f.serviceTime = time.Minute
		_, err = s.Execute(waiting, 0, urgent("2"))
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		time.Sleep(time.Minute)
	})
}

// Guards against a drain that aborts requests in progress or never ends.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 1, nil)
		var all sync.WaitGroup
		all.Go(func() {
			require.Empty(t, executeAll(s, 100, func(i int) request.Request { return urgent(fmt.Sprint(i)) }))
		})
		synctest.Wait()
		short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		require.ErrorIs(t, s.DrainCell(short, 0), context.DeadlineExceeded)
		require.NoError(t, s.DrainCell(context.Background(), 0))
		all.Wait()
		_, err := s.Execute(context.Background(), 0, urgent("new"))
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		s.SetGrant(ownership.Grant{Cell: 0, Epoch: 2, Authority: ownership.Full})
		_, err = s.Execute(context.Background(), 0, urgent("owned again"))
		require.NoError(t, err)
		require.NoError(t, s.Drain(context.Background()))
	})
}

// Guards against loans that are decided but not carried out.
func TestLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 4, nil)
		s.SetGrant(ownership.Grant{Cell: 1, Epoch: 1, Authority: ownership.Full})
		row := testRows()[0]
		row.Concurrency = 8
		row.Deadline = 500 * time.Millisecond
		s.SetTable(table.New(2, []table.Row{row}))
		time.Sleep(2 * admission.LoanPeriod)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go s.RunLoans(ctx, localLenders{s})
		f.serviceTime = 100 * time.Millisecond
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() { _, _ = s.Execute(ctx, 0, urgent(fmt.Sprint(i))) })
			time.Sleep(10 * time.Millisecond)
		}
		all.Wait()
		require.Equal(t, 6, f.totalPeak, "the cell's own share of 4 and half of the idle cell's share")
	})
}

type localLenders struct{ s *Service }

func (l localLenders) Lend(_ context.Context, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error) {
	return l.s.Lend(lender, r), nil
}
