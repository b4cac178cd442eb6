package lifecycle

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// forgetIfGone forgets a worker that has left the host list once nothing can run on it any more.
func (c *Cell) forgetIfGone(w *worker, eff *Effects) {
	if w.listed || !c.hostListKnown || w.claimed || !w.lapsed || len(w.running) > 0 {
		return
	}
	id := w.member.ID
	delete(c.workers, id)
	c.sortedCache = nil
	eff.do(ForgetWorker{Worker: id})
	if _, ok := c.loggedWorkers[id]; ok {
		// If the worker comes back before this record is durable, it needs a new record before the first start on it.
		delete(c.loggedWorkers, id)
		c.removalsQueued[id]++
		eff.log(WorkerRemoved{Worker: id})
	}
	c.scheduleTick(w)
}

// noteAdded applies a durable WorkerAdded record. If a record that removes the worker is queued behind it, the worker counts
// as not recorded, so that it is recorded again should it come back.
func (c *Cell) noteAdded(r WorkerAdded, eff *Effects) {
	if c.removalsQueued[r.Worker] > 0 {
		return
	}
	c.loggedWorkers[r.Worker] = r.Address
	if w, ok := c.workers[r.Worker]; ok {
		c.endSilence(w)
		c.scheduleTick(w)
		c.putWorker(w, eff)
	}
}

// noteRemoved applies a durable WorkerRemoved record. The worker was forgotten when the record was queued.
func (c *Cell) noteRemoved(id ident.WorkerID) {
	if c.removalsQueued[id]--; c.removalsQueued[id] == 0 {
		delete(c.removalsQueued, id)
	}
}
