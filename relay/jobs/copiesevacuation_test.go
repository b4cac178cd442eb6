package jobs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Guards against second attempts and moves that mix up while data centres are evacuated, tasks are slow and hosts and workers
// fail: a third attempt, a task that is left, or a false report.
func TestRandomFailuresWithCopiesAndEvacuations(t *testing.T) {
	var started int64
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(steps(), 4, 16).Draw(rt, "steps")
		for i := range plan {
			if plan[i].Command == "work=8m" || plan[i].Command == "work=70s" {
				plan[i].Command = "work=3s"
			}
			plan[i].Wait %= 4 * time.Second
		}
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, chaosWorkerCount)
			defer fx.close()
			fx.listIn("w2", "w3")
			c := &chaos{fixture: fx, owner: fx.host(), copies: true}
			fx.giveCell(c.owner)
			time.Sleep(time.Second)
			for range 4 {
				c.submit(step{Class: "urgent", Command: "work=1s", Tasks: 6})
			}
			time.Sleep(5 * time.Second)
			for _, s := range plan {
				fx.fleet["w0"].SetFault(worker.Fault{SlowFactor: 30})
				c.submit(step{Class: "urgent", Command: "work=1s", Tasks: 10})
				time.Sleep(time.Duration(1500+s.Seed) * time.Millisecond)
				switch s.Seed % 4 {
				case 0:
					c.owner.svc.SetEvacuations(evacuations("west"))
				case 1:
					c.owner.svc.SetEvacuations(evacuations("east"))
				case 2:
					c.owner.svc.SetEvacuations(evacuations())
				}
				time.Sleep(time.Duration(s.Seed) * time.Millisecond)
				c.perform(s)
				fx.listIn("w2", "w3")
			}
			c.clearFaults()
			fx.listIn("w2", "w3")
			c.owner.svc.SetEvacuations(evacuations())
			faults = c.finalFaults()
			for _, h := range fx.hosts {
				started += h.svc.Stats().CopiesStarted.Load()
			}
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
	t.Logf("%d copies", started)
	require.Positive(t, started)
}
