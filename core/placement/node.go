package placement

import (
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// node is a worker with its bookings. After every call, booked + held <= capacity holds in every dimension. What does
// not fit, because the capacity was reduced or because an inventory or a measured usage exceeds it, is counted in
// deficit.
type node struct {
	worker Worker
	// slot is the position in Cell.nodes and in the indexes.
	slot int
	rack int
	// described is false for a worker that has only been named by an inventory so far.
	described bool

	tasks []*task
	// booked is the sum of the tasks' bookings, unevictable the part of it held by urgent and lasting tasks.
	booked, unevictable resource.Vector
	// lastingBooked is the part of booked that lasting tasks hold.
	lastingBooked resource.Vector
	// deficit is the sum of what tasks should have booked beyond what they have.
	deficit resource.Vector
	// claims lists the claims on this worker, those of urgent tasks and restarts first. held is the sum of what
	// they hold so far, claimed the sum of what their tasks need.
	claims        []*claim
	held, claimed resource.Vector
	// loads holds the booked processors by class.
	loads []ClassLoad
	// serving, fillers and lasting count the tasks of these kinds that are booked or claimed.
	serving, fillers, lasting int
	fillerDemandMilliCPU      int64
	servingMilliCPU           int64
	// overloaded is set while the worker is in Cell.overloadedNodes.
	overloaded bool
	// stalled is set when evicted tasks were not released in time, and cleared by the next release. Meanwhile no
	// task is evicted on the worker.
	stalled bool
	// expectedTails caches the result of Cell.expectedTails for the Plan expectedInPlan and expectedWithFillers
	// fillers.
	expectedTails       []expectedTail
	expectedInPlan      uint64
	expectedWithFillers int
	// overTargetSince is when a serving task may have begun to miss its target; noTime if none does. measured is set
	// while the worker is in Cell.measuredNodes.
	overTargetSince stamp
	measured        bool
	// targetsMetAt is when all serving tasks were last measured below their targets.
	targetsMetAt stamp
	// turnUntil is the end of the turn in which fillers work beside a serving task over its target; workedUntil is when
	// a filler that may disturb one was last paused or ended while it worked.
	turnUntil, workedUntil stamp
	// nextLastResortAt is when a quarantined worker may next get a restart.
	nextLastResortAt stamp
	// tasksChangedAt is when a task last started or ended on the worker.
	tasksChangedAt stamp
}

// claim is the right of a task to the next free resources of a worker.
type claim struct {
	task *task
	node *node
	held resource.Vector
	// createdAt is when the claim was made.
	createdAt stamp
	// urgent claims follow evictions and go before reservations of large tasks.
	urgent bool
	// expectedAt is when the task is expected to fit, expiresAt when the claim ends if it does not; noTime without
	// a forecast.
	expectedAt, expiresAt stamp
}

// hasPriority reports whether the claim goes before reservations of large tasks.
func (cl *claim) hasPriority() bool { return cl.urgent || cl.task.isRestart() }

func (cl *claim) isComplete() bool {
	return cl.task != nil && cl.held == cl.task.desired
}

// Worker implements NodeInfo.
func (n *node) Worker() *Worker { return &n.worker }

// Available implements NodeInfo.
func (n *node) Available() resource.Vector {
	return n.worker.Capacity.Sub(n.booked).Sub(n.held)
}

// Tasks implements NodeInfo.
func (n *node) Tasks() int { return len(n.tasks) + len(n.claims) }

// FiniteTasks implements NodeInfo.
func (n *node) FiniteTasks() int { return n.Tasks() - n.lasting }

// Rack implements NodeInfo.
func (n *node) Rack() int { return n.rack }

// acceptsTasks reports whether the worker may take any new task.
func (n *node) acceptsTasks() bool {
	if !n.described || n.worker.Leaving || n.worker.Evacuated {
		return false
	}
	return !n.worker.Quarantined || (n.worker.AcceptsProbe && n.FiniteTasks() == 0)
}

// reclaimable returns what is free or held by batch tasks that end, less what is already claimed.
func (n *node) reclaimable() resource.Vector {
	return n.worker.Capacity.Sub(n.unevictable).Sub(n.claimed)
}

// freeAfterFinite returns what is free or held by tasks that end, less what is already claimed.
func (n *node) freeAfterFinite() resource.Vector {
	return n.worker.Capacity.Sub(n.claimed).Sub(n.lastingBooked)
}

// addTask books a task, as far as its resources are available.
func (n *node) addTask(t *task) {
	t.node = n
	n.countKinds(t, 1)
	t.slot = len(n.tasks)
	n.tasks = append(n.tasks, t)
	n.loadOf(t.class).Tasks++
	desired := t.desired
	t.desired, t.booked = resource.Vector{}, resource.Vector{}
	n.setBooking(t, desired, minPerDimension(desired, n.Available()))
}

// removeTask frees what a task has booked and removes it from the worker.
func (n *node) removeTask(t *task) {
	n.countKinds(t, -1)
	desired := t.desired
	n.setBooking(t, resource.Vector{}, resource.Vector{})
	t.desired = desired
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
		n.servingMilliCPU += int64(by) * t.declared.MilliCPU
	}
	if t.constraints.Filler {
		n.fillers += by
		n.fillerDemandMilliCPU += int64(by) * t.demandMilliCPU
	}
}

// Serving implements NodeInfo.
func (n *node) Serving() int { return n.serving }

// Fillers implements NodeInfo.
func (n *node) Fillers() int { return n.fillers }

// ServingOf implements NodeInfo.
func (n *node) ServingOf(image string) int {
	return n.count(func(t *task) bool { return t.constraints.Serving && t.constraints.Image == image })
}

// ServingMilliCPU implements NodeInfo.
func (n *node) ServingMilliCPU() int64 { return n.servingMilliCPU }

// FillerDemandMilliCPU implements NodeInfo.
func (n *node) FillerDemandMilliCPU() int64 { return n.fillerDemandMilliCPU }

// GroupTasks implements NodeInfo.
func (n *node) GroupTasks(id ident.TaskID) int {
	return n.count(func(t *task) bool { return t.id.Job == id.Job && t.id.Group() == id.Group() })
}

// count returns how many of the booked or claiming tasks match.
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

// setBooking changes the desired and the actual booking of a task on this worker.
func (n *node) setBooking(t *task, desired, booked resource.Vector) {
	delta := booked.Sub(t.booked)
	n.booked = n.booked.Add(delta)
	if t.class.urgent || t.lasting {
		n.unevictable = n.unevictable.Add(delta)
	}
	if t.lasting {
		n.lastingBooked = n.lastingBooked.Add(delta)
	}
	n.deficit = n.deficit.Add(desired.Sub(booked)).Sub(t.desired.Sub(t.booked))
	n.loadOf(t.class).MilliCPU += delta.MilliCPU
	t.desired, t.booked = desired, booked
}

// distributeFree assigns free resources first to under-booked tasks and then to claims. It returns the claims that
// became complete.
func (n *node) distributeFree() []*claim {
	if !n.deficit.IsZero() {
		for _, t := range n.tasks {
			missing := t.desired.Sub(t.booked)
			n.setBooking(t, t.desired, t.booked.Add(minPerDimension(missing, n.Available())))
		}
	}
	var complete []*claim
	for _, cl := range n.claims {
		if cl.isComplete() {
			continue
		}
		take := minPerDimension(cl.task.desired.Sub(cl.held), n.Available())
		cl.held = cl.held.Add(take)
		n.held = n.held.Add(take)
		if cl.isComplete() {
			complete = append(complete, cl)
		}
	}
	return complete
}

// shrinkBookings reduces bookings, those of batch tasks first, until they fit a smaller capacity. The worker must
// have no claims.
func (n *node) shrinkBookings() {
	for _, urgent := range [...]bool{false, true} {
		for _, t := range n.tasks {
			excess := n.booked.Sub(n.worker.Capacity).Max(resource.Vector{})
			if excess.IsZero() {
				return
			}
			if t.class.urgent == urgent {
				n.setBooking(t, t.desired, t.booked.Sub(minPerDimension(t.booked, excess)))
			}
		}
	}
}

// updateKinds recomputes what depends on the kinds of the classes.
func (n *node) updateKinds(classes []*class) {
	n.unevictable = resource.Vector{}
	for _, t := range n.tasks {
		if t.class.urgent || t.lasting {
			n.unevictable = n.unevictable.Add(t.booked)
		}
	}
	for i := range n.loads {
		n.loads[i].Urgent = classes[n.loads[i].Class].urgent
	}
}

// addClaim queues a claim. One with priority goes before those without, behind others with priority.
func (n *node) addClaim(cl *claim) {
	i := len(n.claims)
	for cl.hasPriority() && i > 0 && !n.claims[i-1].hasPriority() {
		i--
	}
	n.claims = slices.Insert(n.claims, i, cl)
	n.countKinds(cl.task, 1)
	n.claimed = n.claimed.Add(cl.task.desired)
}

// removeClaim removes a claim and frees what it holds.
func (n *node) removeClaim(cl *claim) {
	i := slices.Index(n.claims, cl)
	n.claims = slices.Delete(n.claims, i, i+1)
	n.countKinds(cl.task, -1)
	n.claimed = n.claimed.Sub(cl.task.desired)
	n.held = n.held.Sub(cl.held)
	cl.held = resource.Vector{}
}

// Loads implements NodeInfo. The caller must not keep the slice.
func (n *node) Loads() []ClassLoad { return n.loads }

func (n *node) loadIndex(cl *class) int {
	return slices.IndexFunc(n.loads, func(l ClassLoad) bool { return l.Class == cl.index })
}

func (n *node) loadOf(cl *class) *ClassLoad {
	i := n.loadIndex(cl)
	if i < 0 {
		n.loads = append(n.loads, ClassLoad{Class: cl.index, Urgent: cl.urgent})
		i = len(n.loads) - 1
	}
	return &n.loads[i]
}
