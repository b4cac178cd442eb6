package lifecycle

import "time"

// Policy holds the times and rules of a cell that depend on the platform on which it runs.
type Policy struct {
	// LeaseDuration is how long a task may run on its worker after the token of its last renewal was issued, and
	// LeaseMargin covers the difference between the rates of the clocks of owner and worker.
	LeaseDuration, LeaseMargin time.Duration
	// SilentAfter is when a worker that does not answer gets no new tasks.
	SilentAfter time.Duration
	// The pause before a new attempt of a failed task doubles from FirstBackoff to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// CheckpointInterval is how often a checkpoint is asked for; 0 if workers save by themselves.
	CheckpointInterval time.Duration
	// StopRepeatDelay is how long a stop may take on the worker before it is sent again.
	StopRepeatDelay time.Duration
	// SyncRenewsAll is set if a sync renews every lease of the worker by itself: it lists no attempts to be renewed then.
	SyncRenewsAll bool
	// ChargeAllFailures counts failures on workers that fail everything against the retries of a task, too.
	ChargeAllFailures bool
}

// DefaultPolicy returns the policy for the product's own worker protocol.
func DefaultPolicy() Policy {
	return Policy{
		LeaseDuration:      LeaseDuration,
		LeaseMargin:        LeaseMargin,
		SilentAfter:        silentAfter,
		FirstBackoff:       firstBackoff,
		MaxBackoff:         maxBackoff,
		CheckpointInterval: checkpointInterval,
	}
}

// lapse is how long after the token of its last renewal a task may run, by the clock of the owner.
func (p Policy) lapse() time.Duration {
	return p.LeaseDuration + p.LeaseMargin
}

// SetPolicy replaces the policy. It is called before the cell is used.
func (c *Cell) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = p
}
