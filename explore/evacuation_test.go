package explore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// disturbedBound is the bound for a host whose path to the store is disturbed for up to 6 s.
const disturbedBound = evacuationBound + 6*time.Second

// evacuable is a cell with workers in two data centres, under a steady load of short jobs.
type evacuable struct {
	*jobCell
	operator *kv.Session
	// current is the process to which jobs are submitted.
	current *jobProcess
	// requestedAt is when the request for the evacuation of picton was acknowledged.
	requestedAt time.Time
}

func newEvacuable(t *testing.T) *evacuable {
	e := &evacuable{jobCell: newJobCell(t)}
	e.inPicton = map[ident.WorkerID]bool{"worker-0": true, "worker-1": true}
	e.readable.Store(table.New(1, []table.Row{{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 3}}))
	e.operator = e.store.Client("operator")
	return e
}

func (e *evacuable) request() {
	_, err := e.operator.Txn(context.Background(), nil, []store.Op{{Key: "/evacuate/picton", Value: []byte("test")}})
	require.NoError(e.t, err)
	e.requestedAt = time.Now()
}

func (e *evacuable) withdraw() {
	_, err := e.operator.Txn(context.Background(), nil, []store.Op{{Key: "/evacuate/picton", Delete: true}})
	require.NoError(e.t, err)
}

// load submits jobs for a time; those that are refused are not repeated.
func (e *evacuable) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		router := e.current.router
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = router.Submit(ctx, lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{{
				Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 100}, RunTime: 500 * time.Millisecond, Command: "work=500ms",
			}}})
		}()
	}
}

// starts counts the starts in picton and elsewhere between two times.
func (e *evacuable) starts(from, to time.Time) (picton, elsewhere int) {
	for _, x := range e.recorder.Executions() {
		switch {
		case x.StartedAt.Before(from) || !x.StartedAt.Before(to):
		case e.inPicton[x.Worker]:
			picton++
		default:
			elsewhere++
		}
	}
	return picton, elsewhere
}

// Guards against starts in a data centre after the bound of its evacuation, by whatever process owns the cell: one that
// runs undisturbed, the next one after a loss, one that starts, and one that did not reach the store at the time of the
// request. Starts elsewhere go on, and the workers are used again after the withdrawal.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	for name, tc := range map[string]struct {
		disturb func(e *evacuable)
		bound   time.Duration
	}{
		"undisturbed": {func(e *evacuable) { e.request() }, evacuationBound},
		"owner replaced": {func(e *evacuable) {
			e.request()
			e.load(500 * time.Millisecond)
			e.current.kill()
			e.current = e.startHost(2, nil)
		}, evacuationBound},
		"request between two owners": {func(e *evacuable) {
			e.current.kill()
			e.request()
			e.current = e.startHost(1, nil)
		}, evacuationBound},
		"store down after the request": {func(e *evacuable) {
			e.request()
			e.store.SetFault(kv.Fault{Down: true})
			e.load(4500 * time.Millisecond)
			e.store.SetFault(kv.Fault{})
		}, disturbedBound},
		"store down, owner killed": {func(e *evacuable) {
			e.request()
			e.store.SetFault(kv.Fault{Down: true})
			e.current.kill()
			e.current = e.startHost(2, nil)
			e.load(4500 * time.Millisecond)
			e.store.SetFault(kv.Fault{})
		}, disturbedBound},
		"owner cut off from the store": {func(e *evacuable) {
			e.current.store.SetFault(kv.Fault{Down: true})
			e.request()
			e.load(4500 * time.Millisecond)
			e.current.store.SetFault(kv.Fault{})
		}, disturbedBound},
		"request, withdrawal and request": {func(e *evacuable) {
			for range 20 {
				e.request()
				time.Sleep(7 * time.Millisecond)
				e.withdraw()
				time.Sleep(3 * time.Millisecond)
			}
			e.request()
		}, evacuationBound},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEvacuable(t)
				e.current = e.start()
				e.load(20 * time.Second)
				picton, _ := e.starts(time.Time{}, time.Now())
				require.Positive(t, picton)
				tc.disturb(e)
				e.load(25 * time.Second)
				withdrawnAt := time.Now()
				picton, elsewhere := e.starts(e.requestedAt.Add(tc.bound), withdrawnAt)
				require.Zero(t, picton)
				require.Greater(t, elsewhere, 100)
				e.withdraw()
				e.load(6 * time.Second)
				picton, _ = e.starts(withdrawnAt, time.Now())
				require.Positive(t, picton)
				time.Sleep(5 * time.Second)
				e.close(e.current)
			})
		})
	}
}

// Guards against a request that takes long to arrive when nothing is wrong: what is left of the bound is for what an owner
// cannot foresee.
func TestEvacuationIsQuickWhenUndisturbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEvacuable(t)
		e.current = e.start()
		e.load(20 * time.Second)
		e.request()
		e.load(5 * time.Second)
		picton, elsewhere := e.starts(e.requestedAt.Add(250*time.Millisecond), time.Now())
		require.Zero(t, picton, fmt.Sprint(elsewhere))
		time.Sleep(5 * time.Second)
		e.close(e.current)
	})
}

// lasting submits a job of lasting tasks and waits until all of them run.
func (e *evacuable) lasting(tasks, budget int) ident.JobID {
	id, err := e.current.router.Submit(context.Background(), lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{{
		Count: tasks, Need: resource.Vector{MilliCPU: 500, MemoryMB: 100}, Lasting: true, DisruptionBudget: budget, Command: "work=10h",
	}}})
	require.NoError(e.t, err)
	time.Sleep(5 * time.Second)
	require.Len(e.t, e.running(id, time.Now()), tasks)
	return id
}

// running lists the workers on which tasks of a job run at a time.
func (e *evacuable) running(id ident.JobID, at time.Time) (workers []ident.WorkerID) {
	for _, x := range e.recorder.Executions() {
		if x.Task.Job == id && !x.StartedAt.After(at) && (!x.Stopped || x.StoppedAt.After(at)) {
			workers = append(workers, x.Worker)
		}
	}
	return workers
}

// inPictonAt counts the tasks of a job that run in picton at a time.
func (e *evacuable) inPictonAt(id ident.JobID, at time.Time) (tasks int) {
	for _, w := range e.running(id, at) {
		if e.inPicton[w] {
			tasks++
		}
	}
	return tasks
}

// Guards against lasting tasks that stay in an evacuated data centre although their budget lets them move, against groups
// that lose more tasks at a time than their budget, also beside the loss of the owner, and against moves of a group without
// one.
func TestLastingTasksMoveWithinTheirBudget(t *testing.T) {
	for name, ownerLost := range map[string]bool{"undisturbed": false, "owner replaced": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tasks = 8
				e := newEvacuable(t)
				e.current = e.start()
				time.Sleep(20 * time.Second)
				bound, movable := e.lasting(tasks, 0), e.lasting(tasks, 1)
				stays := e.inPictonAt(bound, time.Now())
				require.Positive(t, stays)
				require.Positive(t, e.inPictonAt(movable, time.Now()))
				e.request()
				if ownerLost {
					time.Sleep(2500 * time.Millisecond)
					e.current.kill()
					e.current = e.startHost(2, nil)
				}
				time.Sleep(90 * time.Second)
				ended := time.Now()
				require.Zero(t, e.inPictonAt(movable, ended))
				require.Equal(t, stays, e.inPictonAt(bound, ended))
				moves := 0
				for _, x := range e.recorder.Executions() {
					if x.Task.Job == movable && x.Stopped {
						moves++
						require.GreaterOrEqual(t, len(e.running(movable, x.StoppedAt)), tasks-1, x.StoppedAt.Sub(e.requestedAt))
					}
				}
				require.Positive(t, moves)
				e.close(e.current)
			})
		})
	}
}
