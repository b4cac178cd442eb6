package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// restartCost is the work in seconds that each eviction loses beyond the work since the last checkpoint.
const restartCost = 1.0

// displacement is a way to make room for a task on one worker.
type displacement struct {
	node    *node
	victims []*task
	cost    float64
}

// displace makes room for an urgent task by throttling batch tasks, or else by evicting the cheapest ones. It does
// neither where the batch classes would be left with less for their weight than the class of the urgent task.
func (r *round) displace(t *task) bool {
	r.sample(&r.reclaimable, t.want)
	req := r.request(t)
	r.admit(&req)
	if r.throttleFor(t, &req) {
		return true
	}
	var best displacement
	for _, n := range r.candidates {
		if n.worker.Quarantined || n.stalled {
			continue
		}
		d, ok := r.cheapest(t, n)
		if !ok {
			continue
		}
		// A worker where the task would be disturbed less may cost more evicted work.
		d.cost /= r.score(&req, n)
		if best.node == nil || d.cost < best.cost {
			best = d
		}
	}
	if best.node == nil {
		return false
	}
	for _, v := range best.victims {
		r.evict(v, t)
	}
	r.claimNode(t, best.node, r.now, true)
	r.claims++
	return true
}

// evict decides that a task stops. It stays booked until Release.
func (r *round) evict(v, beneficiary *task) {
	v.state = evicting
	r.shares.charge(v, resource.Vector{}.Sub(v.want))
	r.plan.Evictions = append(r.plan.Evictions, Evict{
		Task:        v.id,
		Attempt:     v.attempt,
		Worker:      v.node.worker.ID,
		Beneficiary: beneficiary.id,
	})
}

// cheapest chooses batch tasks of a worker whose eviction makes room for t. Tasks are taken in the order of lost work
// for each part of the shortage that they cover; those that turn out to be superfluous are spared. The result is not
// always the cheapest set, which would take exponential time to find.
func (r *round) cheapest(t *task, n *node) (displacement, bool) {
	shortage := t.want.Sub(n.uncommitted()).Max(resource.Vector{})
	d := displacement{node: n}
	taken := r.newTaking(t)
	for _, p := range r.byCost(n, shortage) {
		v := p.task
		if shortage.IsZero() || len(d.victims) == r.opts.MaxVictims {
			break
		}
		if least(v.booked, shortage).IsZero() || !taken.allows(v, v.want) {
			continue
		}
		taken.take(v, v.want)
		d.victims = append(d.victims, v)
		shortage = shortage.Sub(v.booked).Max(resource.Vector{})
	}
	if !shortage.IsZero() {
		return d, false
	}
	d.victims = spareSuperfluous(t, n, d.victims)
	for _, v := range d.victims {
		d.cost += r.cost(v)
	}
	return d, true
}

// uncommitted returns what will be free on a worker when the evictions already decided are done and the claims are
// served.
func (n *node) uncommitted() resource.Vector {
	free := n.worker.Capacity.Sub(n.booked).Sub(n.claimed).Sub(n.over)
	for _, t := range n.tasks {
		if t.state == evicting {
			free = free.Add(t.want)
		}
	}
	return free
}

// spareSuperfluous drops victims, the costliest first, as long as the others make enough room.
func spareSuperfluous(t *task, n *node, victims []*task) []*task {
	free := n.uncommitted()
	for _, v := range victims {
		free = free.Add(v.booked)
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if rest := free.Sub(victims[i].booked); t.want.Fits(rest) {
			free = rest
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// byCost lists the tasks of a worker that may be evicted, the cheapest for its part of the shortage first.
func (r *round) byCost(n *node, shortage resource.Vector) []priced {
	list := r.priced[:0]
	for _, v := range n.tasks {
		if !r.evictable(v) {
			continue
		}
		if covered := least(v.booked, shortage).DominantShare(shortage); covered > 0 {
			list = append(list, priced{v, r.cost(v) / covered})
		}
	}
	slices.SortStableFunc(list, func(a, b priced) int { return cmp.Compare(a.price, b.price) })
	r.priced = list
	return list
}

// priced is a task that may be evicted and its cost for each part of the shortage that it covers.
type priced struct {
	task  *task
	price float64
}

// evictable reports whether a task may be evicted: displaceable and not yet evicted as often as its row allows.
func (c *Cell) evictable(t *task) bool {
	cl := t.class
	return c.displaceable(t) && (cl.maxEvictions == unlimited || int(t.evictions) < cl.maxEvictions)
}

// displaceable reports whether a task may be throttled or evicted: batch, running, and not started by this same Plan,
// whose evictions and throttles are performed before its starts.
func (c *Cell) displaceable(t *task) bool {
	return !t.class.urgent && !t.lasting && t.state == running && t.round != c.round
}

// cost is the work that an eviction loses: the time since the last checkpoint or start, times the size, times the
// weight. A task that is nearly done costs up to twice as much, because its result comes later by the whole wait in
// the queue, and one that has been evicted before costs more, so that evictions do not hit the same task again.
func (r *round) cost(t *task) float64 {
	lost := r.now.since(max(t.started, t.checkpointed)).Seconds() + restartCost
	progress := 0.0
	if t.runTime > 0 {
		progress = min(1, r.now.since(t.started).Seconds()/t.runTime.Seconds())
	}
	size := t.booked.DominantShare(t.node.worker.Capacity)
	return lost * size * t.class.weight * (1 + progress) * float64(1+t.evictions)
}

// taking checks that what an urgent task takes leaves the classes that give a larger share for their weight than the
// class that takes.
type taking struct {
	shares *shares
	taker  float64
	given  []given
}

type given struct {
	class  *class
	amount resource.Vector
}

// newTaking starts anew; the previous one is no longer valid. A restart may take whatever is left to the others.
func (r *round) newTaking(t *task) *taking {
	r.giving.shares = r.shares
	r.giving.taker = r.shares.normalized(t.class, t.class.charged.Add(t.want))
	if t.restarts() {
		r.giving.taker = 0
	}
	r.giving.given = r.giving.given[:0]
	return &r.giving
}

func (g *taking) of(cl *class) *given {
	for i := range g.given {
		if g.given[i].class == cl {
			return &g.given[i]
		}
	}
	g.given = append(g.given, given{class: cl})
	return &g.given[len(g.given)-1]
}

// allows reports whether the class of v may give amount more.
func (g *taking) allows(v *task, amount resource.Vector) bool {
	left := v.class.charged.Sub(g.of(v.class).amount).Sub(amount)
	return g.shares.normalized(v.class, left) >= g.taker
}

func (g *taking) take(v *task, amount resource.Vector) {
	o := g.of(v.class)
	o.amount = o.amount.Add(amount)
}
