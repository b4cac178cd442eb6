package jobs

import "slices"

// join adds a submitter that waits for a record. It returns false if the record has been withdrawn.
func (l *cellLog) join(rec *pendingRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rec.isWithdrawn() {
		return false
	}
	rec.waiters++
	rec.abandoned = false
	return true
}

// withdraw ends the wait of one submitter and reports whether it was the last one. The record is then removed if it was
// certainly not written. A record that is part of a write in progress is removed once that write is known to have had no
// effect, unless a submitter joins it or cancelWithdrawal is called first.
func (l *cellLog) withdraw(rec *pendingRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.waiters--
	rec.abandoned = rec.waiters == 0
	l.dropAbandoned()
	return rec.abandoned
}

// cancelWithdrawal undoes withdraw: the record is written when the store answers.
func (l *cellLog) cancelWithdrawal(rec *pendingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.abandoned = false
}

func (l *cellLog) dropAbandoned() {
	l.queue = slices.DeleteFunc(l.queue, func(rec *pendingRecord) bool {
		if rec.abandoned {
			l.queuedBytes -= rec.size
			close(rec.done)
		}
		return rec.abandoned
	})
}
