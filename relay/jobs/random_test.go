package jobs_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// TestMain fixes the seed of the generated tests, so that CI runs the same cases each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260101")
		_ = flag.Set("rapid.checks", "60")
	}
	os.Exit(m.Run())
}

const chaosWorkerCount = 4

// step is one generated action.
type step struct {
	Action  string
	Class   string
	Command string
	Tasks   int
	Worker  int
	Seed    uint64
	Wait    time.Duration
}

func steps() *rapid.Generator[step] {
	kinds := []string{
		"submit", "submit", "submit", "cancel",
		"dies", "pauses", "doubted", "drains",
		"crash", "cut", "cut", "reach", "fail all", "slow worker", "wrong usage", "no checkpoint", "leave", "return",
		"slow calls", "lost answers", "store down", "store loses answers", "store slow", "calm",
	}
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Action:  rapid.SampledFrom(kinds).Draw(t, "do"),
			Class:   rapid.SampledFrom([]string{"batch", "batch", "urgent"}).Draw(t, "class"),
			Command: rapid.SampledFrom([]string{"work=1s", "work=20s", "work=70s", "work=8m", "fail=exit 1"}).Draw(t, "command"),
			Tasks:   rapid.IntRange(1, 12).Draw(t, "tasks"),
			Worker:  rapid.IntRange(0, chaosWorkerCount-1).Draw(t, "worker"),
			Seed:    rapid.Uint64Range(1, 1000).Draw(t, "seed"),
			Wait:    time.Duration(rapid.IntRange(0, 15_000).Draw(t, "wait")) * time.Millisecond,
		}
	})
}

// chaos is a fixture with one current owner that collects the accepted jobs and the faults found.
type chaos struct {
	*fixture
	owner    *host
	accepted []ident.JobID
	faults   []string
	// copies lets the tasks run a second time.
	copies bool
}

func (c *chaos) perform(s step) {
	id := ident.WorkerID(fmt.Sprintf("w%d", s.Worker))
	x := c.fleet[id]
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	switch s.Action {
	case "submit":
		c.submit(s)
	case "cancel":
		if len(c.accepted) > 0 {
			_ = c.owner.svc.Cancel(bg, c.accepted[s.Tasks%len(c.accepted)])
		}
	case "dies", "pauses", "doubted", "drains":
		c.replace(s.Action)
	case "crash":
		x.Crash()
	case "cut":
		c.owner.link.SetCut(id, true)
	case "reach":
		c.owner.link.SetCut(id, false)
	case "fail all":
		x.SetFault(worker.Fault{FailAll: true})
	case "slow worker":
		x.SetFault(worker.Fault{SlowFactor: 3})
	case "wrong usage":
		x.SetFault(worker.Fault{UsageFactor: 4})
	case "no checkpoint":
		x.SetFault(worker.Fault{RefuseCheckpoints: true})
	case "leave":
		x.SetLeaving(true)
	case "return":
		x.SetFault(worker.Fault{})
		x.SetLeaving(false)
	case "slow calls":
		c.owner.link.SetDelay(func() time.Duration { return time.Duration(rng.IntN(4000)) * time.Millisecond })
	case "lost answers":
		c.owner.link.SetAnswerLoss(func() bool { return rng.IntN(4) == 0 })
	case "store down":
		c.engine.SetFault(kv.Fault{Down: true})
	case "store loses answers":
		c.engine.SetFault(kv.Fault{LoseAfter: 3})
	case "store slow":
		c.engine.SetFault(kv.Fault{Delay: 3 * time.Second})
	case "calm":
		c.clearFaults()
	}
	c.owner.svc.SetMembers(cell, c.members())
	time.Sleep(s.Wait)
}

func (c *chaos) submit(s step) {
	work := spec(ident.ClassName(s.Class), s.Tasks, s.Command)
	if c.copies {
		work.Groups[0].Speculative = true
		work.Groups[0].Constraints.Image = s.Command
	}
	id, err := c.owner.svc.Submit(bg, cell, work)
	if err == nil {
		c.accepted = append(c.accepted, id)
		return
	}
	if v := verdict.FromError(err).Verdict; v == verdict.Ran {
		c.faults = append(c.faults, "a failed submission is reported as run")
	}
}

// replace gives the cell to a new host. The previous owner dies or drains, or it keeps acting for some time with
// authority in doubt, because its process was paused or cut off from the store. In that case the successor uses only
// part of its share until the previous owner has certainly stopped. The owner can only change while the store
// answers.
func (c *chaos) replace(how string) {
	c.engine.SetFault(kv.Fault{})
	old := c.owner
	c.owner = c.host()
	switch how {
	case "dies":
		c.kill(old)
		c.giveCell(c.owner)
		return
	case "drains":
		_ = old.svc.Drain(bg, cell)
		c.giveCell(c.owner)
		return
	case "pauses":
		old.link.Pause()
		time.Sleep(9 * time.Second)
	}
	old.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
	c.giveCellShare(c.owner, 1)
	old.link.Resume()
	time.Sleep(10 * time.Second)
	c.kill(old)
	c.owner.setGrant(func(g *ownership.Grant) { g.ShareShift = 0 })
}

func (c *chaos) clearFaults() {
	c.engine.SetFault(kv.Fault{})
	c.owner.link.SetDelay(nil)
	c.owner.link.SetAnswerLoss(nil)
	for id, x := range c.fleet {
		c.owner.link.SetCut(id, false)
		x.SetFault(worker.Fault{})
		x.SetLeaving(false)
	}
}

// finalFaults clears all injected faults, waits, and returns the faults found: accepted jobs that did not end, and
// false reports.
func (c *chaos) finalFaults() []string {
	c.clearFaults()
	c.owner.svc.SetMembers(cell, c.members())
	time.Sleep(30 * time.Minute)
	c.faults = append(c.faults, check.ExecutionsWithCopies(c.recorder, func(ident.TaskID) bool { return c.copies })...)
	for _, id := range c.accepted {
		v, err := c.owner.svc.Get(bg, id, 0, lifecycle.MaxPageSize)
		if err != nil {
			c.faults = append(c.faults, fmt.Sprintf("accepted job %s is lost: %v", id, err))
			continue
		}
		if !v.State.Final() {
			c.faults = append(c.faults, check.UnfinishedTasks(v)...)
		}
		c.faults = append(c.faults, check.Job(c.recorder, v)...)
	}
	return c.faults
}

// Guards against faults that only combinations of failures cause.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(steps(), 4, 16).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, chaosWorkerCount)
			defer fx.close()
			c := &chaos{fixture: fx, owner: fx.host()}
			fx.giveCell(c.owner)
			for _, s := range plan {
				c.perform(s)
			}
			faults = c.finalFaults()
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
}
