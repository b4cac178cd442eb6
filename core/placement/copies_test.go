package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// copyOf returns the copy of a task that was started on a worker.
func copyOf(p placement.Pending, beside ident.WorkerID) placement.Copy {
	p.Task, p.Attempt = p.Task.Copy(), p.Attempt+1
	return placement.Copy{Pending: p, Beside: beside}
}

// Guards against copies that share the rack of the first run or run on a worker that is leaving, quarantined or without
// room, and against one in the same data centre while another has room.
func TestCopyGoesToAnotherRackAndDataCentre(t *testing.T) {
	c := placement.NewCell(5, placement.Options{})
	c.SetTable(testTable())
	size := vec(4000, 4000, 0)
	worker := func(id, rack, dc string) placement.Worker {
		return placement.Worker{ID: ident.WorkerID(id), Rack: ident.Rack(rack), DataCentre: ident.DataCentre(dc), Capacity: size}
	}
	c.UpsertWorker(worker("first", "r1", "a"))
	task := pendingTask(1, "web", vec(1000, 1000, 0))
	c.Submit([]placement.Pending{task})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	start := func() []placement.Start {
		require.NoError(t, c.CheckInvariants())
		return c.StartCopies(epoch.Add(time.Second), []placement.Copy{copyOf(task, "first")})
	}
	require.Empty(t, start(), "no other worker")
	c.UpsertWorker(worker("same-rack", "r1", "a"))
	leaving, quarantined := worker("leaving", "r2", "b"), worker("quarantined", "r2", "b")
	leaving.Leaving = true
	quarantined.Quarantined, quarantined.AcceptsProbe, quarantined.LastResort = true, true, true
	c.UpsertWorker(leaving)
	c.UpsertWorker(quarantined)
	full := worker("full", "r2", "b")
	full.Capacity = vec(500, 4000, 0)
	c.UpsertWorker(full)
	require.Empty(t, start())

	c.UpsertWorker(worker("other-rack", "r3", "a"))
	got := start()
	require.Len(t, got, 1)
	require.Equal(t, ident.WorkerID("other-rack"), got[0].Worker)
	require.Equal(t, task.Task.Copy(), got[0].Task)
	require.Empty(t, start(), "the copy is booked already")
	require.Equal(t, vec(1000, 1000, 0), c.Booked("other-rack"))
	require.Equal(t, vec(1000, 1000, 0), c.Booked("first"))
	c.Release(task.Task.Copy())
	require.True(t, c.Booked("other-rack").IsZero())
	require.Equal(t, vec(1000, 1000, 0), c.Booked("first"), "the booking of the first run stays")

	c.UpsertWorker(worker("other-centre", "r4", "b"))
	got = start()
	require.Len(t, got, 1)
	require.Equal(t, ident.WorkerID("other-centre"), got[0].Worker)
}

// Guards against copies that take room for which tasks of an equal or more urgent class wait, and against copies that wait
// for work that may wait for them.
func TestNoCopyWhileOthersWait(t *testing.T) {
	for _, tc := range []struct {
		waiting, copied ident.ClassName
		allowed         bool
	}{
		{"web", "web", false}, {"etl", "web", true}, {"web", "etl", false}, {"etl", "etl", false},
	} {
		c := cellOf(4, vec(4000, 4000, 0))
		task := pendingTask(1, tc.copied, vec(1000, 1000, 0))
		c.Submit([]placement.Pending{task})
		starts := c.Plan(epoch, 10).Starts
		require.Len(t, starts, 1)
		waits := pendingTask(2, tc.waiting, vec(1000, 1000, 0))
		c.Submit([]placement.Pending{waits})
		copies := c.StartCopies(epoch.Add(time.Second), []placement.Copy{copyOf(task, starts[0].Worker)})
		require.Equal(t, tc.allowed, len(copies) == 1, "%s waits, %s is copied", tc.waiting, tc.copied)
		require.NoError(t, c.CheckInvariants())
	}
}

// Guards against copies above the limit of their class.
func TestCopiesCountAgainstTheLimit(t *testing.T) {
	c := cellOf(10, vec(4000, 4000, 0))
	var tasks []placement.Pending
	for i := range 5 {
		tasks = append(tasks, pendingTask(i, "api", vec(1000, 1000, 0)))
	}
	c.Submit(tasks)
	starts := c.Plan(epoch, 10).Starts
	require.Len(t, starts, 5)
	var copies []placement.Copy
	for i, s := range starts {
		p := tasks[i]
		p.Task = s.Task
		copies = append(copies, copyOf(p, s.Worker))
	}
	require.Len(t, c.StartCopies(epoch.Add(time.Second), copies), 1, "the class may have six tasks")
	require.NoError(t, c.CheckInvariants())
}

// Guards against bookings that copies leave behind in whatever order attempts and workers end.
func TestCopiesLeaveNothingBooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 5
		c := cellOf(workers, vec(8000, 8000, 0))
		now := epoch
		booked := make(map[ident.TaskID]ident.WorkerID)
		note := func(starts []placement.Start) {
			for _, s := range starts {
				booked[s.Task] = s.Worker
			}
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			ids := make([]ident.TaskID, 0, len(booked))
			for n := range i {
				for _, id := range []ident.TaskID{taskID(n), taskID(n).Copy()} {
					if _, ok := booked[id]; ok {
						ids = append(ids, id)
					}
				}
			}
			c.Submit([]placement.Pending{pendingTask(i, "web", vec(1000, 1000, 0))})
			note(c.Plan(now, 10).Starts)
			if len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(t, "task")
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					c.Release(id)
					delete(booked, id)
				case 1:
					p := pendingTask(0, "web", vec(1000, 1000, 0))
					p.Task = id.Original()
					note(c.StartCopies(now, []placement.Copy{copyOf(p, booked[id])}))
				default:
					lost := booked[id]
					c.RemoveWorker(lost)
					for other, w := range booked {
						if w == lost {
							delete(booked, other)
						}
					}
					c.UpsertWorker(placement.Worker{ID: lost, Rack: ident.Rack(lost), Capacity: vec(8000, 8000, 0)})
				}
			}
			require.NoError(t, c.CheckInvariants())
		}
		for id := range booked {
			c.Release(id)
		}
		for w := range workers {
			require.True(t, c.Booked(workerID(w)).IsZero())
		}
	})
}
