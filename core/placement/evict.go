package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// evictionOverheadSeconds is the work that each eviction loses beyond the work since the last checkpoint.
const evictionOverheadSeconds = 1.0

// displacement is a set of tasks whose eviction frees enough resources for another task on one worker.
type displacement struct {
	node    *node
	victims []*task
	cost    float64
}

// displace frees resources for an urgent task or a restart by throttling batch tasks, or else by evicting the
// cheapest ones. It does neither if a batch class would be left with a smaller weighted share than the class of the
// urgent task.
func (r *planRun) displace(t *task) bool {
	r.sampleNodes(&r.reclaimable, t.desired)
	req := r.request(t)
	r.filterSampled(&req)
	if r.throttleFor(t, &req) {
		return true
	}
	var cheapest displacement
	for _, n := range r.candidates {
		if n.worker.Quarantined || n.stalled {
			continue
		}
		d, ok := r.cheapestVictims(t, n)
		if !ok {
			continue
		}
		// A worker where the task suffers and causes less interference may cost more evicted work.
		d.cost /= r.score(&req, n)
		if cheapest.node == nil || d.cost < cheapest.cost {
			cheapest = d
		}
	}
	if cheapest.node == nil {
		return false
	}
	for _, v := range cheapest.victims {
		r.evict(v, t)
	}
	r.claimNode(t, cheapest.node, r.now, true)
	r.newClaims++
	return true
}

// evict adds an eviction to the plan. The task stays booked until Release.
func (r *planRun) evict(v, beneficiary *task) {
	v.state = evicting
	r.updateWorking(v)
	r.shares.charge(v, resource.Vector{}.Sub(v.desired))
	r.plan.Evictions = append(r.plan.Evictions, Evict{
		Task:        v.id,
		Attempt:     v.attempt,
		Worker:      v.node.worker.ID,
		Beneficiary: beneficiary.id,
	})
}

// revokeEviction lets a task run on whose eviction is not carried out.
func (c *Cell) revokeEviction(t *task) {
	if t.state != evicting {
		return
	}
	t.state = running
	c.updateWorking(t)
	c.shares.charge(t, t.desired)
}

// cheapestVictims selects batch tasks of a worker whose eviction makes t fit. It takes tasks in the order of lost
// work per covered part of the shortage and then drops the superfluous ones. The result is not always the cheapest
// set, which would take exponential time to find.
func (r *planRun) cheapestVictims(t *task, n *node) (displacement, bool) {
	shortage := t.desired.Sub(n.uncommitted()).Max(resource.Vector{})
	d := displacement{node: n}
	guard := r.newShareGuard(t)
	for _, option := range r.optionsByCost(n, shortage) {
		v := option.task
		if shortage.IsZero() || len(d.victims) == r.opts.MaxVictims {
			break
		}
		if minPerDimension(v.booked, shortage).IsZero() || !guard.allows(v, v.desired) {
			continue
		}
		guard.reclaim(v, v.desired)
		d.victims = append(d.victims, v)
		shortage = shortage.Sub(v.booked).Max(resource.Vector{})
	}
	if !shortage.IsZero() {
		return d, false
	}
	d.victims = dropSuperfluousVictims(t, n, d.victims)
	for _, v := range d.victims {
		d.cost += r.evictionCost(v)
	}
	return d, true
}

// uncommitted returns what will be free on a worker once the decided evictions are done and the claims are served.
func (n *node) uncommitted() resource.Vector {
	free := n.worker.Capacity.Sub(n.booked).Sub(n.claimed).Sub(n.deficit)
	for _, t := range n.tasks {
		if t.state == evicting {
			free = free.Add(t.desired)
		}
	}
	return free
}

// dropSuperfluousVictims drops victims, the costliest first, for as long as the others free enough.
func dropSuperfluousVictims(t *task, n *node, victims []*task) []*task {
	free := n.uncommitted()
	for _, v := range victims {
		free = free.Add(v.booked)
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if rest := free.Sub(victims[i].booked); t.desired.Fits(rest) {
			free = rest
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// optionsByCost lists the tasks of a worker that may be evicted, cheapest for their part of the shortage first. The
// list is valid until the next call.
func (r *planRun) optionsByCost(n *node, shortage resource.Vector) []evictionOption {
	options := r.evictionOptions[:0]
	for _, v := range n.tasks {
		if !r.evictable(v) {
			continue
		}
		if covered := minPerDimension(v.booked, shortage).DominantShare(shortage); covered > 0 {
			options = append(options, evictionOption{v, r.evictionCost(v) / covered})
		}
	}
	slices.SortStableFunc(options, func(a, b evictionOption) int { return cmp.Compare(a.relativeCost, b.relativeCost) })
	r.evictionOptions = options
	return options
}

// evictionOption is a task that may be evicted, with the cost of its eviction divided by the part of the shortage
// that it covers.
type evictionOption struct {
	task         *task
	relativeCost float64
}

// evictable reports whether a task is displaceable and below the eviction limit of its class.
func (c *Cell) evictable(t *task) bool {
	cl := t.class
	return c.displaceable(t) && (cl.maxEvictions == unlimited || int(t.evictions) < cl.maxEvictions)
}

// displaceable reports whether a task may be throttled or evicted: a running batch task that ends and that this
// Plan did not start. The evictions and throttles of a Plan are performed before its starts.
func (c *Cell) displaceable(t *task) bool {
	return !t.class.urgent && !t.lasting && t.state == running && t.startedInPlan != c.planSeq
}

// evictionCost is the work that an eviction loses: the time since the last checkpoint or start, times the size,
// times the weight. A task that is nearly done costs up to twice as much, because its result is delayed by the
// whole wait in the queue. Each earlier eviction raises the cost, so that evictions do not hit the same task
// repeatedly.
func (r *planRun) evictionCost(t *task) float64 {
	lost := r.now.since(max(t.startedAt, t.checkpointedAt)).Seconds() + evictionOverheadSeconds
	progress := 0.0
	if t.runTime > 0 {
		progress = min(1, r.now.since(t.startedAt).Seconds()/t.runTime.Seconds())
	}
	size := t.booked.DominantShare(t.node.worker.Capacity)
	return lost * size * t.class.weight * (1 + progress) * float64(1+t.evictions)
}

// shareGuard checks that displaced tasks leave their classes a weighted share at least as large as that of the
// class that benefits.
type shareGuard struct {
	shares           *shares
	beneficiaryShare float64
	reclaimed        []reclaimedAmount
}

type reclaimedAmount struct {
	class  *class
	amount resource.Vector
}

// newShareGuard resets and returns the guard of the cell; the previous result becomes invalid. A restart may take
// from a class whatever its share is.
func (r *planRun) newShareGuard(t *task) *shareGuard {
	r.guard.shares = r.shares
	r.guard.beneficiaryShare = r.shares.weightedShare(t.class, t.class.charged.Add(t.desired))
	if t.isRestart() {
		r.guard.beneficiaryShare = 0
	}
	r.guard.reclaimed = r.guard.reclaimed[:0]
	return &r.guard
}

func (g *shareGuard) amountFor(cl *class) *reclaimedAmount {
	for i := range g.reclaimed {
		if g.reclaimed[i].class == cl {
			return &g.reclaimed[i]
		}
	}
	g.reclaimed = append(g.reclaimed, reclaimedAmount{class: cl})
	return &g.reclaimed[len(g.reclaimed)-1]
}

// allows reports whether the class of v may give up amount in addition to what was already reclaimed.
func (g *shareGuard) allows(v *task, amount resource.Vector) bool {
	left := v.class.charged.Sub(g.amountFor(v.class).amount).Sub(amount)
	return g.shares.weightedShare(v.class, left) >= g.beneficiaryShare
}

func (g *shareGuard) reclaim(v *task, amount resource.Vector) {
	reclaimed := g.amountFor(v.class)
	reclaimed.amount = reclaimed.amount.Add(amount)
}
