package lifecycle

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// SyncRequest returns the next sync of a worker; ok is false if the worker is not claimed.
func (c *Cell) SyncRequest(id ident.WorkerID) (req SyncRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, found := c.workers[id]
	if !found || !w.claimed {
		return SyncRequest{}, false
	}
	c.seq++
	req = SyncRequest{Token: w.token, Seq: c.seq}
	if !c.policy.SyncRenewsAll {
		req.Renewals = w.renewals()
	}
	for r := range w.acks {
		req.Acks = append(req.Acks, r)
	}
	w.sentTokenAt = w.tokenAt
	return req, true
}

// renewals lists the attempts whose leases are to be renewed.
func (w *worker) renewals() []AttemptID {
	runs := make([]AttemptID, 0, len(w.runs))
	for _, t := range w.sortedRuns() {
		// A stopping attempt is not renewed, so that it ends with its lease if the stop never arrives.
		if t.run.phase != phaseLogging && t.run.phase != phaseStopping {
			runs = append(runs, t.run.AttemptID)
		}
	}
	return runs
}

// AnswerArrived notes that a claim or a sync of a worker was answered. It is called when the answer arrives, which may be
// long before the report in it is taken over.
func (c *Cell) AnswerArrived(id ident.WorkerID) {
	c.noteCall(id, false)
}

// CallFailed notes that a claim or a sync of a worker was not answered.
func (c *Cell) CallFailed(id ident.WorkerID) {
	c.noteCall(id, true)
}

func (c *Cell) noteCall(id ident.WorkerID, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok && w.unanswered != unanswered {
		w.unanswered = unanswered
		c.schedule(w)
	}
}

// AcksAwaitLog reports whether the worker listed ends of which no record is durable yet and none can be acknowledged.
func (c *Cell) AcksAwaitLog(id ident.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && len(w.acks) == 0 && c.unloggedOn[id] > 0
}

// awaitLog notes an end whose record is on its way into the log.
func (c *Cell) awaitLog(r AttemptID, end unloggedEnd) {
	c.unlogged[r] = end
	c.unloggedOn[end.worker]++
}

// leaveLog forgets on which worker an end without a durable record happened.
func (c *Cell) leaveLog(id ident.WorkerID) {
	if c.unloggedOn[id]--; c.unloggedOn[id] <= 0 {
		delete(c.unloggedOn, id)
	}
}

// NextClaimSeq returns the sequence number of a claim that is about to be sent.
func (c *Cell) NextClaimSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	return c.seq
}
