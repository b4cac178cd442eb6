package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// A successor must know for how long a worker has not answered: it would otherwise count a whole lease from the end of its
// predecessor. The log holds that as times since the takeover of the owner that writes them, by its steady clock, because
// clocks of two hosts cannot be compared. Each record also states the time at which it was written, and the newest such
// time has certainly passed when the next owner begins.
//
// From the record on, the owner sends the worker no newer lease token until a WorkerAdded record is durable that ends the
// silence. A predecessor that is still alive can write no such record, so that it extends no lease either.

// silenceInterval is how often the passing of time is recorded while leases on silent workers last. A successor may wait that
// much longer than they do.
const silenceInterval = 250 * time.Millisecond

// loggedSilence is what the log says about silent workers.
type loggedSilence struct {
	// since holds WorkerSilent.Since by worker, and at the newest WorkerSilent.At.
	since map[ident.WorkerID]time.Duration
	at    time.Duration
}

func (l *loggedSilence) add(r WorkerSilent) {
	l.since[r.Worker] = r.Since
	l.at = max(l.at, r.At)
}

// clear forgets the records of an owner. Its successor records again what still holds.
func (l *loggedSilence) clear() {
	clear(l.since)
	l.at = 0
}

// silenceRecorded reports whether a record of the worker's silence may be durable and none that ends it is.
func (w *worker) silenceRecorded() bool { return !w.silentSince.IsZero() }

// takeLoggedSilence returns what the log says, and forgets it.
func (c *Cell) takeLoggedSilence() loggedSilence {
	c.mu.Lock()
	defer c.mu.Unlock()
	logged := c.loggedSilence
	c.loggedSilence = loggedSilence{since: make(map[ident.WorkerID]time.Duration)}
	return logged
}

// inheritSilence applies what the log of the predecessor says about silent workers.
func (c *Cell) inheritSilence(now time.Time, logged loggedSilence, eff *Effects) {
	for _, w := range c.sortedWorkers() {
		since, silent := logged.since[w.member.ID]
		if silent && w.mayHold {
			c.recordSilence(now, w, c.takenOverAt.Add(since-logged.at), eff)
		}
	}
}

// recordSilence records that the worker can have got no lease token received later than since.
func (c *Cell) recordSilence(now time.Time, w *worker, since time.Time, eff *Effects) {
	w.silentSince = since
	c.silenceRecordedAt = now
	c.silentLeasesEndAt = laterOf(c.silentLeasesEndAt, since.Add(c.inheritedLapseAfter()))
	eff.log(c.silenceOf(now, w))
}

func (c *Cell) silenceOf(now time.Time, w *worker) WorkerSilent {
	return WorkerSilent{
		Worker: w.member.ID, Address: c.loggedWorkers[w.member.ID],
		Since: w.silentSince.Sub(c.takenOverAt), At: now.Sub(c.takenOverAt),
	}
}

// silenceDue returns when the silence of a worker is to be recorded; ok is false if it is not.
func (c *Cell) silenceDue(w *worker) (due time.Time, ok bool) {
	since, unanswered := c.unansweredSince(w)
	if !unanswered || w.silenceRecorded() || c.inDoubt || c.logFailing {
		return time.Time{}, false
	}
	return since.Add(c.policy.SilentAfter), true
}

// nextTimeRecord returns when the passing of time is to be recorded; zero if no lease on a silent worker lasts.
func (c *Cell) nextTimeRecord() time.Time {
	if c.inDoubt || c.logFailing || !c.silenceRecordedAt.Before(c.silentLeasesEndAt) {
		return time.Time{}
	}
	return c.silenceRecordedAt.Add(silenceInterval)
}

// recordTime records that time has passed since the last record of a silence. It takes no worker whose silence is about to
// end: behind the record of that end, the log would say that the worker is silent while its leases are renewed.
func (c *Cell) recordTime(now time.Time, eff *Effects) {
	if next := c.nextTimeRecord(); next.IsZero() || now.Before(next) {
		return
	}
	c.silenceRecordedAt = now
	for _, w := range c.sortedWorkers() {
		if w.silenceRecorded() && !w.silenceEnding {
			eff.log(c.silenceOf(now, w))
			return
		}
	}
}

// unansweredSince returns the time after which no lease token can have been sent to a worker whose last call has failed.
func (c *Cell) unansweredSince(w *worker) (since time.Time, unanswered bool) {
	if _, logged := c.loggedWorkers[w.member.ID]; !logged || !w.unanswered {
		return time.Time{}, false
	}
	since = laterOf(w.tokenReceivedAt, w.sentTokenReceivedAt)
	if since.IsZero() {
		since = c.predecessorStoppedAt
	}
	return since, !since.IsZero()
}

// receiveToken takes the lease token of a report over. After a record of the worker's silence, it is withheld until the
// record that ends the silence is durable.
func (c *Cell) receiveToken(now time.Time, w *worker, token string, eff *Effects) {
	if !w.silenceRecorded() {
		w.token, w.tokenReceivedAt = token, now
		return
	}
	w.withheldToken, w.withheldTokenReceivedAt = token, now
	if !w.silenceEnding {
		w.silenceEnding = true
		eff.log(WorkerAdded{Worker: w.member.ID, Address: c.loggedWorkers[w.member.ID]})
	}
}

// endSilence puts the withheld token to use after the record that ends the silence has become durable.
func (c *Cell) endSilence(w *worker) {
	if !w.silenceEnding {
		return
	}
	w.silenceEnding = false
	w.silentSince = time.Time{}
	w.token, w.tokenReceivedAt = w.withheldToken, w.withheldTokenReceivedAt
	c.scheduleTick(w)
	c.ackedWorkers = append(c.ackedWorkers, w.member.ID)
}

// RenewalAwaitsLog reports whether the next sync of the worker renews nothing because the record that ends its silence is
// not durable yet.
func (c *Cell) RenewalAwaitsLog(id ident.WorkerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && w.silenceEnding
}
