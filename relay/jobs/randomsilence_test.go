package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// episode is a cut of some workers, a fault of the store around the end of the cut, and a change of owner.
type episode struct {
	// Cut and CutAgain hold a bit for each worker that is cut off at first, and once it has answered again. Unreached holds
	// one for each worker that the next owner does not reach.
	Cut, CutAgain, Unreached int
	StoreFault               string
	StoreDelay               time.Duration
	// StoreFirst is set if the fault of the store begins before the cut ends.
	StoreFirst, StoreWellFirst bool
	// CallDelay bounds the random delay of calls to workers, which may take effect after the owner has given them up.
	CallDelay time.Duration
	// Unlisted holds a bit for each worker that the host list lacks from the end of the first cut to the change of owner.
	Unlisted int
	// Load adds records that cause snapshots.
	Load   bool
	Seed   uint64
	Change string
	// Silent, Well, SilentAgain and After are the times of the cut, of the answers after it, of the second cut, and after
	// the change of owner.
	Silent, Well, SilentAgain, After time.Duration
}

func episodes() *rapid.Generator[episode] {
	return rapid.Custom(func(t *rapid.T) episode {
		duration := func(name string, seconds int) time.Duration {
			return time.Duration(rapid.IntRange(0, seconds*1000).Draw(t, name)) * time.Millisecond
		}
		workers := rapid.IntRange(0, 1<<chaosWorkerCount-1)
		return episode{
			Cut: workers.Draw(t, "cut"), CutAgain: workers.Draw(t, "cut again"), Unreached: workers.Draw(t, "unreached"),
			StoreFault: rapid.SampledFrom([]string{"none", "none", "slow", "slow", "down", "loses answers", "loses writes"}).Draw(t, "store"),
			StoreDelay: duration("store delay", 2),
			CallDelay:  rapid.SampledFrom([]time.Duration{0, 0, 400 * time.Millisecond, 4 * time.Second}).Draw(t, "call delay"),
			Unlisted:   rapid.SampledFrom([]int{0, 0, 1, 2, 3, 8}).Draw(t, "unlisted"),
			Load:       rapid.Bool().Draw(t, "load"), Seed: rapid.Uint64Range(1, 1000).Draw(t, "seed"),
			StoreFirst: rapid.Bool().Draw(t, "store first"), StoreWellFirst: rapid.Bool().Draw(t, "store well first"),
			Change: rapid.SampledFrom([]string{"dies", "dies", "dies", "doubted", "pauses", "drains", "none"}).Draw(t, "change"),
			Silent: duration("silent", 13), Well: duration("well", 9), SilentAgain: duration("silent again", 11),
			After: duration("after", 13),
		}
	})
}

// silences is a chaos whose next owner may reach only some of the workers.
type silences struct {
	*chaos
}

func (c *silences) setCuts(h *host, workers int) {
	for i := range chaosWorkerCount {
		h.link.SetCut(ident.WorkerID(fmt.Sprintf("w%d", i)), workers&(1<<i) != 0)
	}
}

// addRecords has the owner write records of jobs that cannot run for some seconds.
func (c *silences) addRecords() {
	svc := c.owner.svc
	ctx, cancel := context.WithTimeout(bg, 12*time.Second)
	large := spec("batch", 1, "work=1s")
	large.Groups[0].Need = workerCapacity.Add(oneCore)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			if _, err := svc.Submit(ctx, cell, large); err != nil {
				return
			}
		}
	}()
}

func (c *silences) setUnlisted(workers int) {
	c.listed = nil
	for i, m := range c.sortedMembers() {
		if workers&(1<<i) == 0 {
			c.listed = append(c.listed, m)
		}
	}
	c.owner.svc.SetMembers(cell, c.members())
}

func (c *silences) sortedMembers() []lifecycle.Member {
	var all []lifecycle.Member
	for i := range chaosWorkerCount {
		all = append(all, c.fleet[ident.WorkerID(fmt.Sprintf("w%d", i))].Member())
	}
	return all
}

func (c *silences) faultOf(e episode) kv.Fault {
	switch e.StoreFault {
	case "slow":
		return kv.Fault{Delay: e.StoreDelay}
	case "down":
		return kv.Fault{Down: true}
	case "loses answers":
		return kv.Fault{LoseAfter: 2}
	case "loses writes":
		return kv.Fault{LoseBefore: 2}
	default:
		return kv.Fault{}
	}
}

func (c *silences) perform(e episode) {
	if e.Load {
		c.addRecords()
	}
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	c.owner.link.SetDelay(func() time.Duration { return time.Duration(rng.Int64N(int64(e.CallDelay) + 1)) })
	c.setCuts(c.owner, e.Cut)
	time.Sleep(e.Silent)
	c.setUnlisted(e.Unlisted)
	if e.StoreFirst {
		c.engine.SetFault(c.faultOf(e))
	}
	c.setCuts(c.owner, 0)
	c.engine.SetFault(c.faultOf(e))
	time.Sleep(e.Well)
	if e.StoreWellFirst {
		c.engine.SetFault(kv.Fault{})
	}
	c.setCuts(c.owner, e.CutAgain)
	time.Sleep(e.SilentAgain)
	c.engine.SetFault(kv.Fault{})
	c.setUnlisted(0)
	c.change(e)
	time.Sleep(e.After)
}

// change gives the cell to a new host, which reaches some of the workers only.
func (c *silences) change(e episode) {
	if e.Change == "none" {
		return
	}
	old := c.owner
	c.owner = c.host()
	c.setCuts(c.owner, e.Unreached)
	switch e.Change {
	case "dies":
		c.kill(old)
		c.giveCell(c.owner)
	case "drains":
		_ = old.svc.Drain(bg, cell)
		c.giveCell(c.owner)
	case "pauses", "doubted":
		if e.Change == "pauses" {
			old.link.Pause()
			time.Sleep(e.SilentAgain)
		}
		old.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		c.setCuts(old, 0)
		c.giveCellShare(c.owner, 1)
		old.link.Resume()
		time.Sleep(10 * time.Second)
		c.kill(old)
		c.owner.setGrant(func(g *ownership.Grant) { g.ShareShift = 0 })
	}
}

// Guards against a lasting task that runs twice or that nobody starts: what the log says about silent workers is wrong
// after some combination of cuts, changes of owner and faults of the store.
func TestRandomSilences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(episodes(), 1, 5).Draw(rt, "episodes")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, chaosWorkerCount)
			defer fx.close()
			c := &silences{&chaos{fixture: fx, owner: fx.host()}}
			fx.giveCell(c.owner)
			s := spec("batch", 6, "work=100h")
			s.Groups[0].Lasting = true
			c.owner.submit(s)
			time.Sleep(time.Second)
			for _, e := range plan {
				c.perform(e)
			}
			c.clearFaults()
			time.Sleep(time.Minute)
			running := 0
			for _, x := range fx.fleet {
				running += x.RunningTasks()
			}
			if running != s.Groups[0].Count {
				c.faults = append(c.faults, fmt.Sprintf("%d lasting tasks run", running))
			}
			c.faults = append(c.faults, check.Executions(fx.recorder)...)
			faults = c.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
}
