package lifecycle

import (
	"fmt"
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// BenchmarkEvacuation measures a request for a third of the workers of a cell, from its arrival at the owner until the
// planner places nothing more on them, one look for lasting tasks to move, of which none is ready, and the return of the
// workers. Each worker runs ten lasting tasks.
func BenchmarkEvacuation(b *testing.B) {
	const lastingTasks = 10
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			planner := placement.NewCell(1, placement.Options{Cell: 1})
			f := newFixture(nil, 1)
			f.c.policy.AwaitEvacuations = true
			members := make([]Member, workers)
			for i := range members {
				members[i] = Member{ID: ident.WorkerID(fmt.Sprintf("i-%05d", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc", i%3))}
			}
			f.apply(f.c.SetMembers(f.now, members))
			f.c.NoteEvacuations(evacuation.NewSet(1, f.now, nil))
			for _, m := range members {
				f.claim(m.ID, Report{})
				id, eff, _ := f.c.Accept(f.now, JobSpec{Class: "batch", Groups: []TaskGroup{{
					Count: lastingTasks, Need: oneCore, Lasting: true, DisruptionBudget: 1,
				}}})
				f.apply(eff)
				for i := range lastingTasks {
					f.startTask(taskID(id, 0, i), m.ID)
				}
			}
			perform := func(eff Effects) {
				for _, c := range eff.Commands {
					if put, ok := c.(PutWorker); ok {
						planner.UpsertWorker(put.Worker)
					}
				}
			}
			perform(Effects{Commands: f.commands})
			f.commands, f.log = nil, nil
			requests := []evacuation.Request{{DataCentre: "dc0", Revision: 1}}
			revision := store.Revision(1)
			for b.Loop() {
				revision++
				f.c.NoteEvacuations(evacuation.NewSet(revision, f.now, requests))
				_, eff := f.c.ApplyEvacuations(f.now)
				perform(eff)
				f.now = f.now.Add(moveInterval)
				var moves Effects
				f.c.mu.Lock()
				f.c.moveFromEvacuated(f.now, &moves)
				f.c.mu.Unlock()
				f.c.NoteEvacuations(evacuation.NewSet(revision, f.now, nil))
				_, eff = f.c.ApplyEvacuations(f.now)
				perform(eff)
				f.now = f.now.Add(evacuation.RampTime)
				perform(f.c.Tick(f.now))
			}
		})
	}
}
