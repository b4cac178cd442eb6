package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// inboxRun is a run of clients that hand in jobs through several entry hosts while owners and the store fail.
type inboxRun struct {
	fx      *fixture
	rng     *rand.Rand
	entries []*entryHost
	owner   *host
	// versions are those of the table that follow testTable, and read says how many of them a host has read. The hosts read
	// them at random times.
	versions []*table.Table
	read     map[*host]int
}

// newInboxRun returns a run in which one host owns the cell and three others take calls.
func newInboxRun(fx *fixture, seed uint64, versions ...*table.Table) *inboxRun {
	r := &inboxRun{fx: fx, rng: rand.New(rand.NewPCG(seed, 0)), versions: versions, read: make(map[*host]int)}
	for range 3 {
		r.entries = append(r.entries, fx.entryHost(nil))
	}
	r.owner = fx.inboxHost(nil)
	fx.giveCell(r.owner)
	for _, e := range r.entries {
		e.setOwner(r.owner, linkUp)
	}
	return r
}

// spec returns the job of a client. If the table changes, half of the jobs are of a class that some versions lack, and a
// quarter have a target that is no whole number of milliseconds.
func (r *inboxRun) spec(number uint64) lifecycle.JobSpec {
	if len(r.versions) == 0 {
		return numberedSpec(number)
	}
	s := numberedSpec(number)
	if number%2 == 0 {
		s = newClassSpec(number)
	}
	if number%4 < 2 {
		s.Groups[0].TailTarget = 37500 * time.Microsecond
	}
	return s
}

// readTable lets a random host read the next version of the table.
func (r *inboxRun) readTable() {
	if len(r.versions) == 0 {
		return
	}
	h := r.fx.hosts[r.rng.IntN(len(r.fx.hosts))]
	if n := r.read[h]; n < len(r.versions) {
		h.svc.SetTable(r.versions[n])
		r.read[h]++
	}
}

// clientVerdicts hands in a job as a client does: at most four tries, each at a random host, of which some are broken. A
// cancellation may follow. It returns the verdicts of the tries, and whether the cancellation was acknowledged.
func (r *inboxRun) clientVerdicts(rng *rand.Rand, number uint64) (verdicts []verdict.Verdict, cancelled bool) {
	for range 4 {
		wait := 2900 * time.Millisecond
		if rng.IntN(4) == 0 {
			wait = time.Duration(rng.IntN(600)) * time.Millisecond
		}
		ctx, leave := context.WithTimeout(bg, wait)
		_, err := r.entries[rng.IntN(len(r.entries))].router.Submit(ctx, r.spec(number))
		leave()
		if refusal := verdict.FromError(err); err != nil && refusal.Verdict == verdict.NotRun {
			assert.NotContains(r.fx.t, verdicts, verdict.Ran, "job %d was accepted, and its repeat is refused: %v", number, err)
			assert.NotEqual(r.fx.t, verdict.CodeConflict, refusal.Code, "job %d has one specification: %v", number, err)
		}
		if err == nil {
			verdicts = append(verdicts, verdict.Ran)
			if rng.IntN(3) > 0 {
				break
			}
			continue
		}
		verdicts = append(verdicts, verdict.FromError(err).Verdict)
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	if rng.IntN(4) == 0 {
		ctx, leave := context.WithTimeout(bg, 2900*time.Millisecond)
		defer leave()
		cancelled = r.entries[0].cancel(ctx, ident.CallerAssignedJobID(cell, number)) == nil
	}
	return verdicts, cancelled
}

// cancel cancels a job at the present owner.
func (e *entryHost) cancel(ctx context.Context, id ident.JobID) error {
	e.mu.Lock()
	owner := e.owner
	e.mu.Unlock()
	if owner == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	}
	return owner.svc.Cancel(ctx, id)
}

// fail causes failures until stop is closed, and then repairs everything.
func (r *inboxRun) fail(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			r.fx.engine.SetFault(kv.Fault{})
			for _, h := range r.fx.hosts {
				r.fx.engine.Client(h.name).SetFault(kv.Fault{})
			}
			r.replaceOwner(0)
			return
		case <-time.After(time.Duration(r.rng.IntN(400)) * time.Millisecond):
		}
		r.readTable()
		switch r.rng.IntN(6) {
		case 0:
			r.replaceOwner(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		case 1:
			for _, e := range r.entries {
				e.setOwner(r.owner, link(r.rng.IntN(4)))
			}
		case 2:
			r.fx.engine.SetFault(kv.Fault{Delay: time.Duration(r.rng.IntN(500)) * time.Millisecond})
		case 3:
			r.fx.engine.SetFault(kv.Fault{Down: true})
			time.Sleep(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
			r.fx.engine.SetFault(kv.Fault{})
		default:
			h := r.fx.hosts[r.rng.IntN(len(r.fx.hosts))]
			r.fx.engine.Client(h.name).SetFault(kv.Fault{
				LoseBefore: r.rng.IntN(2), LoseAfter: r.rng.IntN(3), Down: r.rng.IntN(4) == 0,
				WatchLag: time.Duration(r.rng.IntN(2000)) * time.Millisecond,
			})
		}
	}
}

// replaceOwner gives the cell to a new host, which claims it within half of the given time and works after the other half. The
// owner is lost, hands the cell over, or is cut off and works on in doubt until some time after its successor has the cell.
func (r *inboxRun) replaceOwner(within time.Duration) {
	predecessor, successor := r.owner, r.fx.inboxHost(nil)
	stop := func() { r.fx.kill(predecessor) }
	switch r.rng.IntN(3) {
	case 0:
		r.fx.kill(predecessor)
	case 1:
		ctx, leave := context.WithTimeout(bg, within)
		defer leave()
		_ = predecessor.svc.Drain(ctx, cell)
	default:
		predecessor.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt })
		stopLater := stop
		stop = func() { time.AfterFunc(within/4, stopLater) }
	}
	if r.rng.IntN(2) == 0 {
		for _, e := range r.entries {
			e.setOwner(nil, linkUp)
		}
	}
	time.Sleep(within / 2)
	r.fx.grantCell(successor)
	time.Sleep(within / 2)
	r.fx.engine.SetFault(kv.Fault{})
	r.fx.engine.Client(successor.name).SetFault(kv.Fault{LoseBefore: r.rng.IntN(2), LoseAfter: r.rng.IntN(2)})
	r.fx.takeOver(successor)
	r.owner = successor
	for _, e := range r.entries {
		e.setOwner(r.owner, linkUp)
	}
	stop()
}

// Guards against jobs that are lost, run twice, run although every try was refused, or run on after their cancellation was
// acknowledged, when hosts use the inbox while owners, links and the store fail in combination.
func TestInboxRandomFailures(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 4)
				defer fx.close()
				newInboxRun(fx, seed).check(seed)
			})
		})
	}
}

// Guards against the same failures while hosts read versions of the table that add and remove a class, each at another time.
// A host that takes the cell over begins with the oldest one.
func TestInboxRandomFailuresWhileTheTableChanges(t *testing.T) {
	withoutClass := table.New(3, []table.Row{{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 3, Evictions: 100}})
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 4)
				defer fx.close()
				newInboxRun(fx, seed, newTable, withoutClass).check(seed)
			})
		})
	}
}

// check lets clients hand in jobs during failures and checks what became of the jobs.
func (r *inboxRun) check(seed uint64) {
	const clients = 60
	fx, t := r.fx, r.fx.t
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		r.fail(stop)
	}()
	accepted, refused, cancelled := r.handInAll(seed, clients)
	close(stop)
	<-stopped
	time.Sleep(20 * time.Second)
	require.NotEmpty(t, accepted)
	for _, id := range accepted {
		v := r.owner.get(id)
		require.True(t, v.State == lifecycle.Done || v.State == lifecycle.Cancelled, "job %v is %s", id, v.State)
		require.False(t, fx.inInbox(id.Seq))
	}
	for id, at := range cancelled {
		require.True(t, r.owner.get(id).State.Final(), "cancelled job %v", id)
		for _, e := range fx.recorder.Executions() {
			require.False(t, e.Task.Job == id && e.StartedAt.After(at), "job %v was started after its cancellation", id)
		}
	}
	fx.verify(r.owner, accepted...)
	for _, id := range refused {
		_, err := r.owner.svc.Get(bg, id, 0, 1)
		requireCode(t, verdict.CodeNotFound, err)
	}
	t.Logf("%d accepted, %d refused with proof, %d through the inbox", len(accepted), len(refused), fx.decisions.count(jobs.EventInboxTaken))
	require.Positive(t, fx.decisions.count(jobs.EventInboxTaken))
}

// handInAll hands in jobs at random times. It returns those of which a try was accepted, those of which each try was refused
// with proof, and when the cancellation of a job was acknowledged.
func (r *inboxRun) handInAll(seed uint64, clients int) (accepted, refused []ident.JobID, cancelled map[ident.JobID]time.Time) {
	cancelled = make(map[ident.JobID]time.Time)
	var (
		mu   sync.Mutex
		done sync.WaitGroup
	)
	for number := uint64(1); number <= uint64(clients); number++ {
		done.Go(func() {
			rng := rand.New(rand.NewPCG(seed, number))
			time.Sleep(time.Duration(rng.IntN(20000)) * time.Millisecond)
			verdicts, acknowledged := r.clientVerdicts(rng, number)
			id := ident.CallerAssignedJobID(cell, number)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case slices.Contains(verdicts, verdict.Ran):
				accepted = append(accepted, id)
			case !slices.Contains(verdicts, verdict.MayHaveRun):
				refused = append(refused, id)
			}
			if acknowledged {
				cancelled[id] = time.Now()
			}
		})
	}
	done.Wait()
	return accepted, refused, cancelled
}
