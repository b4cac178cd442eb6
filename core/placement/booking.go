package placement

import (
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// node returns the worker of an id, which it adds if needed.
func (c *Cell) node(id ident.WorkerID) *node {
	if n, ok := c.workers[id]; ok {
		return n
	}
	n := &node{worker: Worker{ID: id}, rack: noRack, changed: noTime, overSince: noTime}
	c.workers[id] = n
	c.nodes = append(c.nodes, n)
	n.slot = len(c.nodes) - 1
	c.swap(n, c.nodes[c.rng.IntN(len(c.nodes))])
	return n
}

// swap exchanges the slots of two workers.
func (c *Cell) swap(a, b *node) {
	a.slot, b.slot = b.slot, a.slot
	c.nodes[a.slot], c.nodes[b.slot] = a, b
	c.reindex(a)
	c.reindex(b)
}

func (c *Cell) removeNode(n *node) {
	last := c.nodes[len(c.nodes)-1]
	c.swap(n, last)
	c.nodes[n.slot] = nil
	c.nodes = c.nodes[:n.slot]
	c.free.set(n.slot, unusable)
	c.reclaimable.set(n.slot, unusable)
	delete(c.workers, n.worker.ID)
	n.known = false
}

// reindex updates the index entries of a worker.
func (c *Cell) reindex(n *node) {
	if !n.accepts() {
		c.free.set(n.slot, unusable)
		c.reclaimable.set(n.slot, unusable)
		return
	}
	c.free.set(n.slot, n.Available())
	c.reclaimable.set(n.slot, n.reclaimable())
}

// countCapacity adds a worker to the totals of the cell, forgetCapacity takes it out.
func (c *Cell) countCapacity(n *node) { c.addCapacity(n, 1) }

func (c *Cell) forgetCapacity(n *node) { c.addCapacity(n, -1) }

func (c *Cell) addCapacity(n *node, sign int) {
	if !n.known || n.worker.Leaving {
		return
	}
	c.shares.total = c.shares.total.Add(n.worker.Capacity.Scale(int64(sign)))
	c.shares.stale = true
	if c.shapes.add(n.worker.Capacity, sign) {
		c.sweepDue = true
	}
}

// moveRack changes the rack of a worker and of its tasks.
func (c *Cell) moveRack(n *node, rack int) {
	if n.rack == rack {
		return
	}
	for _, t := range n.tasks {
		c.spread.count(t.id.Job, n.rack, -1)
		c.spread.count(t.id.Job, rack, 1)
	}
	n.rack = rack
}

// track makes a task known.
func (c *Cell) track(t *task) {
	c.tasks[t.id] = t
	t.tenant.tasks++
}

// book puts a task on a worker and counts it.
func (c *Cell) book(t *task, n *node) {
	t.state = running
	n.add(t)
	c.spread.count(t.id.Job, n.rack, 1)
	c.shares.hold(t.class, t.want, 1)
	c.shares.charge(t, t.want)
}

// rewant changes what a booked task should have, as far as the worker has it.
func (c *Cell) rewant(t *task, want resource.Vector) {
	delta := want.Sub(t.want)
	n := t.node
	n.set(t, want, least(want, t.booked.Add(n.Available())))
	c.shares.hold(t.class, delta, 0)
	if t.state == running {
		c.shares.charge(t, delta)
	}
}

// vacate takes a booked task off its worker and forgets it. The caller settles the worker.
func (c *Cell) vacate(t *task) {
	n := t.node
	n.remove(t)
	c.noteFreed(n)
	n.changed = c.now
	n.stalled = false
	c.spread.count(t.id.Job, n.rack, -1)
	c.shares.hold(t.class, resource.Vector{}.Sub(t.want), -1)
	if t.state == running {
		c.shares.charge(t, resource.Vector{}.Sub(t.want))
	} else {
		c.shares.refresh(t.tenant)
	}
	c.forget(t)
}

// noteFreed remembers that a worker may have room for queues that were left out.
func (c *Cell) noteFreed(n *node) {
	if len(c.freed) <= maxFreed {
		c.freed = append(c.freed, n)
	}
}

// hasFreed reports whether need may fit what has become free since the last Plan.
func (c *Cell) hasFreed(need resource.Vector) bool {
	if len(c.freed) > maxFreed {
		return true
	}
	for _, n := range c.freed {
		if n.accepts() && need.Fits(n.Available()) {
			return true
		}
	}
	return false
}

// drop forgets a task in any state and frees what it holds.
func (c *Cell) drop(t *task) {
	switch t.state {
	case queued:
		c.shares.dequeue(t)
		c.forget(t)
	case parked:
		delete(c.parked, t.id)
		c.forget(t)
	case claimed:
		n := t.claim.node
		c.unclaim(t.claim)
		c.forget(t)
		c.settle(n)
	default:
		n := t.node
		c.vacate(t)
		c.settle(n)
	}
}

func (c *Cell) forget(t *task) {
	delete(c.tasks, t.id)
	t.tenant.tasks--
	t.class.forget(t.tenant)
}

// settle hands out what has become free on a worker and updates the indexes.
func (c *Cell) settle(n *node) {
	c.complete = append(c.complete, n.settle()...)
	if !n.over.IsZero() && !n.pressed {
		n.pressed = true
		c.pressed = append(c.pressed, n)
	}
	c.reindex(n)
}

// claimNode gives a queued task the right to the next free resources of a worker.
func (c *Cell) claimNode(t *task, n *node, now stamp, urgent bool) {
	c.shares.dequeue(t)
	t.state = claimed
	t.claim = &claim{task: t, node: n, since: now, urgent: urgent}
	n.addClaim(t.claim)
	c.claims = append(c.claims, t.claim)
	c.shares.hold(t.class, t.want, 1)
	c.shares.charge(t, t.want)
	c.settle(n)
}

// unclaim ends a claim. The caller queues, books or forgets the task and settles the worker.
func (c *Cell) unclaim(cl *claim) {
	t := cl.task
	cl.node.dropClaim(cl)
	c.noteFreed(cl.node)
	t.claim = nil
	cl.task = nil
	c.shares.hold(t.class, resource.Vector{}.Sub(t.want), -1)
	c.shares.charge(t, resource.Vector{}.Sub(t.want))
}

// dropClaims queues the tasks that wait for a worker again.
func (c *Cell) dropClaims(n *node) {
	for len(n.claims) > 0 {
		t := n.claims[0].task
		c.unclaim(n.claims[0])
		c.shares.requeueFront(t)
	}
}
