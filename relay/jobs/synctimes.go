package jobs

import "time"

const (
	// answerTimesPerLease is the number of times for an answer to a sync in the duration of a lease.
	answerTimesPerLease = 8
	// slowAnswerFactor is the number of usual answer times after which an answer counts as lost.
	slowAnswerFactor = 4
	// minStartTimeout leaves time for two lost packets to be sent again, and about half of the 1.5 s within which an urgent
	// task starts for a second start.
	minStartTimeout = 800 * time.Millisecond
	// startPatienceFactor is the number of usual answer times after which a start counts as unanswered. A start that is given
	// up too early costs the work until its stop, so that the owner waits longer than for the answer to a sync.
	startPatienceFactor = 8
)

// syncTimes holds how long a worker may hold a sync, and after which time its answer counts as lost.
type syncTimes struct {
	hold, timeout time.Duration
}

// timesOfSync returns the times of a sync after a number of failed ones. Only an answered sync renews leases for their full
// time, so that several attempts have to fit into a lease: each answer is awaited for a fraction of it, and a worker
// answers a repeat at once. The time grows with each failure, and with the time that other calls take: repeats must not add
// to the load of a slow link.
func (o *owner) timesOfSync(failures int) syncTimes {
	patience := max(o.cfg.Policy.LeaseDuration/answerTimesPerLease, slowAnswerFactor*o.answerTimes.mean())
	patience = min(patience, callTimeout)
	if failures == 0 {
		return syncTimes{hold: o.cfg.SyncWait, timeout: o.cfg.SyncWait + patience}
	}
	return syncTimes{timeout: min(patience<<(failures-1), callTimeout)}
}

// startTimeout returns after which time a start counts as unanswered. Its task then starts elsewhere once the worker has
// confirmed that the attempt does not run and never will.
func (o *owner) startTimeout() time.Duration {
	return min(max(minStartTimeout, startPatienceFactor*o.answerTimes.mean()), callTimeout)
}
