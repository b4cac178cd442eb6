package placement

import (
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// node is a worker with its bookings. Invariant: booked + held <= capacity in every dimension, whatever the calls;
// what does not fit (a smaller capacity, an inventory or a usage above the capacity) is counted in over instead.
type node struct {
	worker Worker
	// slot is the position in Cell.nodes and in the indexes.
	slot int
	rack int
	// known is false for a worker that so far only an inventory has named.
	known bool

	tasks []*task
	// booked is the sum of the tasks' bookings, kept the part of it that cannot be evicted.
	booked, kept resource.Vector
	// over is the sum of what tasks should have booked and could not.
	over resource.Vector
	// claims are the tasks that wait for resources of this worker, urgent ones and restarts first; held is the sum of what
	// they hold so far and claimed the sum of what they need.
	claims        []*claim
	held, claimed resource.Vector
	// loads is the booked processors by class.
	loads []ClassLoad
	// serving, fillers and lasting count the tasks of these kinds that are booked or claimed.
	serving, fillers, lasting int
	fillerCPU                 int64
	servingCPU                int64
	// pressed marks a worker in Cell.pressed.
	pressed bool
	// stalled is set when evicted tasks were not released in time, and cleared by the next release. No task is evicted
	// there meanwhile.
	stalled bool
	// expected holds what Cell.expect returned in the Plan expectedIn, with expectedFor fillers.
	expected    []expectation
	expectedIn  uint64
	expectedFor int
	// overSince is since when a serving task may have been over its target; noTime if none is. measured marks a worker in
	// Cell.measured.
	overSince stamp
	measured  bool
	// metAt is when all serving tasks were last measured below their targets.
	metAt stamp
	// resortAt is when a worker in quarantine may get a restart again.
	resortAt stamp
	// changed is when a task last came or went.
	changed stamp
}

// claim is the right of a task to the next free resources of a worker.
type claim struct {
	task *task
	node *node
	hold resource.Vector
	// since is when the claim was made.
	since stamp
	// urgent claims come with evictions and go before reservations of large tasks.
	urgent bool
}

// goesFirst reports whether the claim goes before reservations of large tasks.
func (cl *claim) goesFirst() bool { return cl.urgent || cl.task.restarts() }

func (cl *claim) complete() bool {
	return cl.task != nil && cl.hold == cl.task.want
}

// Worker returns the description of the worker.
func (n *node) Worker() *Worker { return &n.worker }

// Available returns what may be booked now.
func (n *node) Available() resource.Vector {
	return n.worker.Capacity.Sub(n.booked).Sub(n.held)
}

// Tasks returns the number of tasks that are booked or wait for the worker.
func (n *node) Tasks() int { return len(n.tasks) + len(n.claims) }

// Ending implements NodeInfo.
func (n *node) Ending() int { return n.Tasks() - n.lasting }

// Rack returns the number of the rack.
func (n *node) Rack() int { return n.rack }

// accepts reports whether the worker may take any new task.
func (n *node) accepts() bool {
	if !n.known || n.worker.Leaving {
		return false
	}
	return !n.worker.Quarantined || (n.worker.AcceptsProbe && n.Ending() == 0)
}

// reclaimable returns what is free or held by batch tasks that end, less what is already claimed.
func (n *node) reclaimable() resource.Vector {
	return n.worker.Capacity.Sub(n.kept).Sub(n.claimed)
}

// ending returns what is free or held by tasks that end, less what is already claimed.
func (n *node) ending() resource.Vector {
	left := n.worker.Capacity.Sub(n.claimed)
	for _, t := range n.tasks {
		if t.lasting {
			left = left.Sub(t.booked)
		}
	}
	return left
}

// add books a task, as far as it fits.
func (n *node) add(t *task) {
	t.node = n
	n.countKinds(t, 1)
	t.slot = len(n.tasks)
	n.tasks = append(n.tasks, t)
	n.load(t.class).Tasks++
	want := t.want
	t.want, t.booked = resource.Vector{}, resource.Vector{}
	n.set(t, want, least(want, n.Available()))
}

// remove frees what a task has booked.
func (n *node) remove(t *task) {
	n.countKinds(t, -1)
	want := t.want
	n.set(t, resource.Vector{}, resource.Vector{})
	t.want = want
	last := len(n.tasks) - 1
	n.tasks[t.slot] = n.tasks[last]
	n.tasks[t.slot].slot = t.slot
	n.tasks[last] = nil
	n.tasks = n.tasks[:last]
	i := n.loadIndex(t.class)
	n.loads[i].Tasks--
	if n.loads[i].Tasks == 0 {
		n.loads = slices.Delete(n.loads, i, i+1)
	}
	t.node = nil
}

func (n *node) countKinds(t *task, by int) {
	if t.lasting {
		n.lasting += by
	}
	if t.constraints.Serving {
		n.serving += by
		n.servingCPU += int64(by) * t.declared.MilliCPU
	}
	if t.constraints.Filler {
		n.fillers += by
		n.fillerCPU += int64(by) * t.wish
	}
}

// Serving and Fillers implement NodeInfo.
func (n *node) Serving() int { return n.serving }

// Fillers implements NodeInfo.
func (n *node) Fillers() int { return n.fillers }

// ServingOf implements NodeInfo.
func (n *node) ServingOf(image string) int {
	return n.count(func(t *task) bool { return t.constraints.Serving && t.constraints.Image == image })
}

// ServingCPU implements NodeInfo.
func (n *node) ServingCPU() int64 { return n.servingCPU }

// FillerCPU implements NodeInfo.
func (n *node) FillerCPU() int64 { return n.fillerCPU }

// GroupTasks implements NodeInfo.
func (n *node) GroupTasks(id ident.TaskID) int {
	return n.count(func(t *task) bool { return t.id.Job == id.Job && t.id.Group() == id.Group() })
}

// count returns how many of the tasks that are booked or wait for the worker match.
func (n *node) count(matches func(t *task) bool) int {
	count := 0
	for _, t := range n.tasks {
		if matches(t) {
			count++
		}
	}
	for _, cl := range n.claims {
		if matches(cl.task) {
			count++
		}
	}
	return count
}

// set changes the booking of a task on this worker.
func (n *node) set(t *task, want, booked resource.Vector) {
	delta := booked.Sub(t.booked)
	n.booked = n.booked.Add(delta)
	if t.class.urgent || t.lasting {
		n.kept = n.kept.Add(delta)
	}
	n.over = n.over.Add(want.Sub(booked)).Sub(t.want.Sub(t.booked))
	n.load(t.class).MilliCPU += delta.MilliCPU
	t.want, t.booked = want, booked
}

// settle gives free resources first to running tasks that should have more and then to claims. It returns the claims
// that became complete.
func (n *node) settle() []*claim {
	if !n.over.IsZero() {
		for _, t := range n.tasks {
			missing := t.want.Sub(t.booked)
			n.set(t, t.want, t.booked.Add(least(missing, n.Available())))
		}
	}
	var complete []*claim
	for _, cl := range n.claims {
		if cl.complete() {
			continue
		}
		take := least(cl.task.want.Sub(cl.hold), n.Available())
		cl.hold = cl.hold.Add(take)
		n.held = n.held.Add(take)
		if cl.complete() {
			complete = append(complete, cl)
		}
	}
	return complete
}

// shrink lowers bookings until they fit a smaller capacity, those of batch tasks first. There are no claims then.
func (n *node) shrink() {
	for _, urgent := range [...]bool{false, true} {
		for _, t := range n.tasks {
			excess := n.booked.Sub(n.worker.Capacity).Max(resource.Vector{})
			if excess.IsZero() {
				return
			}
			if t.class.urgent == urgent {
				n.set(t, t.want, t.booked.Sub(least(t.booked, excess)))
			}
		}
	}
}

// recount recomputes what depends on the kinds of the classes.
func (n *node) recount(classes []*class) {
	n.kept = resource.Vector{}
	for _, t := range n.tasks {
		if t.class.urgent || t.lasting {
			n.kept = n.kept.Add(t.booked)
		}
	}
	for i := range n.loads {
		n.loads[i].Urgent = classes[n.loads[i].Class].urgent
	}
}

// addClaim queues a claim behind those that go first as it does.
func (n *node) addClaim(cl *claim) {
	i := len(n.claims)
	for cl.goesFirst() && i > 0 && !n.claims[i-1].goesFirst() {
		i--
	}
	n.claims = slices.Insert(n.claims, i, cl)
	n.countKinds(cl.task, 1)
	n.claimed = n.claimed.Add(cl.task.want)
}

// dropClaim gives up a claim and what it holds.
func (n *node) dropClaim(cl *claim) {
	i := slices.Index(n.claims, cl)
	n.claims = slices.Delete(n.claims, i, i+1)
	n.countKinds(cl.task, -1)
	n.claimed = n.claimed.Sub(cl.task.want)
	n.held = n.held.Sub(cl.hold)
	cl.hold = resource.Vector{}
}

// Loads returns the processors booked by class. The caller must not keep it.
func (n *node) Loads() []ClassLoad { return n.loads }

func (n *node) loadIndex(cl *class) int {
	return slices.IndexFunc(n.loads, func(l ClassLoad) bool { return l.Class == cl.index })
}

func (n *node) load(cl *class) *ClassLoad {
	i := n.loadIndex(cl)
	if i < 0 {
		n.loads = append(n.loads, ClassLoad{Class: cl.index, Urgent: cl.urgent})
		i = len(n.loads) - 1
	}
	return &n.loads[i]
}
