package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowUpsertPlanner takes time for each change of a worker, so that the events are slow rather than the Plan.
type slowUpsertPlanner struct {
	placement.Planner
	upsertDelay time.Duration
}

func (p slowUpsertPlanner) UpsertWorker(w placement.Worker) {
	time.Sleep(p.upsertDelay)
	p.Planner.UpsertWorker(w)
}

// slowEventsScenario is a scenario with an owner that takes 40 ms for a change of the two workers.
func slowEventsScenario(t *testing.T, f func(fx *fixture, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		defer fx.close()
		h := fx.hostWith(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowUpsertPlanner{Planner: plain(c, t), upsertDelay: 20 * time.Millisecond}
			}
		})
		fx.giveCell(h)
		f(fx, h)
	})
}

// Guards against an owner that falls behind and then gives no tasks to sound workers, whose answers have arrived but
// wait to be handled.
func TestAnswersBehindSlowEventsAreNoSilence(t *testing.T) {
	slowEventsScenario(t, func(fx *fixture, h *host) {
		time.Sleep(time.Second)
		for i := range 400 {
			go h.svc.SetMembers(cell, fx.membersWithLabel(i))
		}
		time.Sleep(time.Minute)
		require.Zero(t, fx.decisions.count(jobs.EventQuarantined))
	})
}

// Guards against a cancellation, or the notice that it is durable, that waits behind all events that arrived before
// it: here 400 events of 40 ms each.
func TestCancellationDoesNotWaitBehindSlowEvents(t *testing.T) {
	slowEventsScenario(t, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 20, "work=1s"))
		time.Sleep(time.Second)
		for i := range 400 {
			go h.svc.SetMembers(cell, fx.membersWithLabel(i))
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(bg, 3*time.Second)
		defer cancel()
		require.NoError(t, h.svc.Cancel(ctx, id))
		time.Sleep(time.Minute)
	})
}

// Guards against a caller that is told that the host does not own the cell, and therefore looks for another owner,
// because its deadline passed while the owner was busy. An earlier submission with the same token may have been accepted.
func TestBusyOwnerSaysThatItHadNoTime(t *testing.T) {
	slowEventsScenario(t, func(fx *fixture, h *host) {
		time.Sleep(time.Second)
		id := h.submit(spec("batch", 1, "work=1s"))
		for i := range 400 {
			go h.svc.SetMembers(cell, fx.membersWithLabel(i))
		}
		time.Sleep(time.Second)
		noTime := func(want verdict.Verdict, call func(ctx context.Context) error) {
			ctx, cancel := context.WithTimeout(bg, time.Millisecond)
			defer cancel()
			e := verdict.FromError(call(ctx))
			require.Equal(t, verdict.CodeDeadline, e.Code, e)
			require.Equal(t, want, e.Verdict, e)
		}
		submit := func(s lifecycle.JobSpec) func(ctx context.Context) error {
			return func(ctx context.Context) error {
				_, err := h.svc.Submit(ctx, cell, s)
				return err
			}
		}
		plain := spec("batch", 1, "work=1s")
		noTime(verdict.NotRun, submit(plain))
		withToken, withNumber := plain, plain
		withToken.ClientToken, withNumber.ClientNumber = "token", 7
		noTime(verdict.MayHaveRun, submit(withToken))
		noTime(verdict.MayHaveRun, submit(withNumber))
		noTime(verdict.MayHaveRun, func(ctx context.Context) error { return h.svc.Cancel(ctx, id) })

		h.svc.StopCell(cell)
		_, err := h.svc.Submit(bg, cell, plain)
		require.Equal(t, verdict.CodeUnavailable, verdict.FromError(err).Code)
	})
}

// Guards against a snapshot that waits behind the other events of a busy cell: no record becomes durable meanwhile.
func TestSnapshotDoesNotWaitBehindSlowEvents(t *testing.T) {
	slowEventsScenario(t, func(fx *fixture, h *host) {
		// One commit each. A snapshot is due after 256.
		var ids []ident.JobID
		for range 230 {
			ids = append(ids, h.submit(spec("batch", 1, "work=10m")))
		}
		head := func() []store.Entry {
			r, err := fx.engine.Range(bg, fmt.Sprintf("/cell/%d/snap", cell))
			require.NoError(t, err)
			return r.Entries
		}
		before := head()
		for i := range 400 {
			go h.svc.SetMembers(cell, fx.membersWithLabel(i))
		}
		time.Sleep(time.Second)
		for _, id := range ids[:40] {
			ctx, cancel := context.WithTimeout(bg, time.Second)
			require.NoError(t, h.svc.Cancel(ctx, id))
			cancel()
		}
		require.NotEqual(t, before, head(), "no snapshot was due")
	})
}
