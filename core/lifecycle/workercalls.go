package lifecycle

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// SyncRequest returns the next sync for a worker; ok is false if the worker is not claimed. It has no token, and renews
// nothing, while the log says that the worker is silent.
func (c *Cell) SyncRequest(id ident.WorkerID) (req SyncRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, found := c.workers[id]
	if !found || !w.claimed {
		return SyncRequest{}, false
	}
	c.callSeq++
	req = SyncRequest{Seq: c.callSeq}
	for attempt := range w.pendingAcks {
		req.Acks = append(req.Acks, attempt)
	}
	if w.silenceRecorded() {
		return req, true
	}
	req.Token = w.token
	if !c.policy.SyncRenewsAll {
		req.Renewals = w.renewals()
	}
	w.sentTokenReceivedAt = w.tokenReceivedAt
	return req, true
}

// renewals lists the attempts whose leases the next sync renews.
func (w *worker) renewals() []AttemptID {
	attempts := make([]AttemptID, 0, len(w.running))
	for _, r := range w.sortedRuns() {
		// A stopping attempt is not renewed, so that it ends with its lease if the stop never arrives.
		if r.phase != phaseLogging && r.phase != phaseStopping {
			attempts = append(attempts, r.AttemptID)
		}
	}
	return attempts
}

// AnswerArrived notes that a claim or a sync was answered. It is called when the answer arrives, which may be long
// before its report is handled. Until then the worker is not called again and does not count as silent.
func (c *Cell) AnswerArrived(id ident.WorkerID) {
	c.noteCall(id, false, true)
}

// StopArrived notes that a stop was answered. It is called when the answer arrives.
func (c *Cell) StopArrived(id ident.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok && w.unanswered {
		w.unanswered = false
		c.scheduleTick(w)
	}
}

// CallFailed notes that a claim or a sync was not answered. It reports whether it is the first such call in a row: Tick may then
// be due earlier than NextTick said.
func (c *Cell) CallFailed(id ident.WorkerID) (first bool) {
	return c.noteCall(id, true, false)
}

func (c *Cell) noteCall(id ident.WorkerID, unanswered, reportWaiting bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok || w.unanswered == unanswered && w.reportWaiting == reportWaiting {
		return false
	}
	w.unanswered, w.reportWaiting = unanswered, reportWaiting
	c.scheduleTick(w)
	return true
}

// AcksAwaitLog reports whether the worker has ended attempts, none of which can be acknowledged because no record of
// them is durable yet.
func (c *Cell) AcksAwaitLog(id ident.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && len(w.pendingAcks) == 0 && c.unloggedByWorker[id] > 0
}

// addUnloggedEnd adds an ended attempt whose record is not durable yet.
func (c *Cell) addUnloggedEnd(attempt AttemptID, end unloggedEnd) {
	c.unloggedEnds[attempt] = end
	c.unloggedByWorker[end.worker]++
}

// uncountUnloggedEnd removes one unlogged end from the count of the worker.
func (c *Cell) uncountUnloggedEnd(id ident.WorkerID) {
	if c.unloggedByWorker[id]--; c.unloggedByWorker[id] <= 0 {
		delete(c.unloggedByWorker, id)
	}
}

// NextClaimSeq returns the sequence number for a claim that is about to be sent.
func (c *Cell) NextClaimSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callSeq++
	return c.callSeq
}
