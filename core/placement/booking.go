package placement

import (
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// ensureNode returns the node of a worker, creating one at a random position if the worker is unknown.
func (c *Cell) ensureNode(id ident.WorkerID) *node {
	if n, ok := c.workers[id]; ok {
		return n
	}
	n := &node{worker: Worker{ID: id}, rack: noRack, tasksChangedAt: noTime, overTargetSince: noTime, turnUntil: noTime, workedUntil: noTime}
	c.workers[id] = n
	c.nodes = append(c.nodes, n)
	n.slot = len(c.nodes) - 1
	c.swapSlots(n, c.nodes[c.rng.IntN(len(c.nodes))])
	return n
}

// swapSlots exchanges the slots of two workers.
func (c *Cell) swapSlots(a, b *node) {
	a.slot, b.slot = b.slot, a.slot
	c.nodes[a.slot], c.nodes[b.slot] = a, b
	c.reindex(a)
	c.reindex(b)
}

func (c *Cell) removeNode(n *node) {
	last := c.nodes[len(c.nodes)-1]
	c.swapSlots(n, last)
	c.nodes[n.slot] = nil
	c.nodes = c.nodes[:n.slot]
	c.free.set(n.slot, unusable)
	c.reclaimable.set(n.slot, unusable)
	delete(c.workers, n.worker.ID)
	n.described = false
}

// reindex updates the index entries of a worker.
func (c *Cell) reindex(n *node) {
	if !n.acceptsTasks() {
		c.free.set(n.slot, unusable)
		c.reclaimable.set(n.slot, unusable)
		return
	}
	c.free.set(n.slot, n.Available())
	c.reclaimable.set(n.slot, n.reclaimable())
}

// addCapacity adds a worker to the totals of the cell; subtractCapacity removes it.
func (c *Cell) addCapacity(n *node) { c.adjustCapacity(n, 1) }

func (c *Cell) subtractCapacity(n *node) { c.adjustCapacity(n, -1) }

func (c *Cell) adjustCapacity(n *node, sign int) {
	if !n.described || n.worker.Leaving {
		return
	}
	c.shares.total = c.shares.total.Add(n.worker.Capacity.Scale(int64(sign)))
	if n.worker.AcceptsProbe {
		c.probingWorkers += sign
	}
	c.shares.keysStale = true
	if c.shapes.add(n.worker.Capacity, sign) {
		c.recheckDue = true
	}
}

// moveRack moves a worker and the rack counts of its tasks to another rack.
func (c *Cell) moveRack(n *node, rack int) {
	if n.rack == rack {
		return
	}
	for _, t := range n.tasks {
		c.spread.addTasks(t.id.Job, n.rack, -1)
		c.spread.addTasks(t.id.Job, rack, 1)
	}
	n.rack = rack
}

// track registers a task with the cell and its tenant.
func (c *Cell) track(t *task) {
	c.tasks[t.id] = t
	t.tenant.tasks++
}

// book places a task on a worker and updates all counts.
func (c *Cell) book(t *task, n *node) {
	t.state = running
	c.waiting.remove(t)
	c.leaveJob(t)
	n.addTask(t)
	c.joinJob(t)
	c.spread.addTasks(t.id.Job, n.rack, 1)
	c.shares.addHeld(t.class, t.desired, 1)
	c.shares.charge(t, t.desired)
}

// setDesired changes the desired booking of a booked task. The task gets as much of it as the worker has available.
func (c *Cell) setDesired(t *task, desired resource.Vector) {
	delta := desired.Sub(t.desired)
	n := t.node
	n.setBooking(t, desired, minPerDimension(desired, t.booked.Add(n.Available())))
	c.shares.addHeld(t.class, delta, 0)
	if t.state == running {
		c.shares.charge(t, delta)
	}
}

// unbook removes a booked task from its worker and from the cell. The caller must call distributeFree for the
// worker.
func (c *Cell) unbook(t *task) {
	n := t.node
	if t.constraints.Filler && t.pace > 0 && c.mayDisturb(n, t) {
		n.workedUntil = c.now
	}
	c.leaveJob(t)
	n.removeTask(t)
	c.noteFreed(n)
	n.tasksChangedAt = c.now
	n.stalled = false
	c.spread.addTasks(t.id.Job, n.rack, -1)
	c.shares.addHeld(t.class, resource.Vector{}.Sub(t.desired), -1)
	if t.state == running {
		c.shares.charge(t, resource.Vector{}.Sub(t.desired))
	} else {
		c.shares.updateTenant(t.tenant)
	}
	c.untrack(t)
}

// noteFreed records that resources became free on a worker, so that blocked queues may be tried again.
func (c *Cell) noteFreed(n *node) {
	if len(c.freedNodes) <= maxFreedNodes {
		c.freedNodes = append(c.freedNodes, n)
	}
}

// fitsFreed reports whether need may fit a worker on which resources became free since the last Plan.
func (c *Cell) fitsFreed(need resource.Vector) bool {
	if len(c.freedNodes) > maxFreedNodes {
		return true
	}
	for _, n := range c.freedNodes {
		if n.acceptsTasks() && need.Fits(n.Available().Add(n.yieldable())) {
			return true
		}
	}
	return false
}

// removeTask removes a task in any state and frees what it holds.
func (c *Cell) removeTask(t *task) {
	switch t.state {
	case queued:
		c.shares.dequeue(t)
		c.untrack(t)
	case parked:
		delete(c.parked, t.id)
		c.untrack(t)
	case claimed:
		n := t.claim.node
		c.releaseClaim(t.claim)
		c.untrack(t)
		c.distributeFree(n)
	default:
		n := t.node
		c.unbook(t)
		c.distributeFree(n)
	}
}

func (c *Cell) untrack(t *task) {
	c.waiting.remove(t)
	c.leaveJob(t)
	delete(c.tasks, t.id)
	t.tenant.tasks--
	t.class.pruneTenant(t.tenant)
}

// distributeFree assigns what is free on a worker to its under-booked tasks and its claims, and updates the
// indexes.
func (c *Cell) distributeFree(n *node) {
	c.completeClaims = append(c.completeClaims, n.distributeFree()...)
	if !n.deficit.IsZero() && !n.overloaded {
		n.overloaded = true
		c.overloadedNodes = append(c.overloadedNodes, n)
	}
	c.reindex(n)
}

// claimNode gives a queued task a claim on the next free resources of a worker.
func (c *Cell) claimNode(t *task, n *node, now stamp, urgent bool) {
	c.shares.dequeue(t)
	t.state = claimed
	t.claim = &claim{task: t, node: n, createdAt: now, urgent: urgent, expectedAt: noTime, expiresAt: noTime}
	n.addClaim(t.claim)
	c.claims = append(c.claims, t.claim)
	c.shares.addHeld(t.class, t.desired, 1)
	c.shares.charge(t, t.desired)
	c.distributeFree(n)
}

// releaseClaim ends a claim. The caller queues, books or removes the task and calls distributeFree for the worker.
func (c *Cell) releaseClaim(cl *claim) {
	t := cl.task
	cl.node.removeClaim(cl)
	c.noteFreed(cl.node)
	t.claim = nil
	cl.task = nil
	c.shares.addHeld(t.class, resource.Vector{}.Sub(t.desired), -1)
	c.shares.charge(t, resource.Vector{}.Sub(t.desired))
}

// requeueClaims ends all claims on a worker and puts their tasks back at the front of their queues.
func (c *Cell) requeueClaims(n *node) {
	for len(n.claims) > 0 {
		t := n.claims[0].task
		c.releaseClaim(n.claims[0])
		c.shares.requeueFront(t)
	}
}
