package lifecycle

import "time"

// Policy holds the times and rules of a cell that depend on its platform.
type Policy struct {
	// LeaseDuration is how long a task may run on its worker after the token of its last renewal was issued, and
	// LeaseMargin covers the difference between the rates of the clocks of owner and worker.
	LeaseDuration, LeaseMargin time.Duration
	// LongestLease is the longest lease that a predecessor may have granted whose log does not say it; 0 means LeaseDuration.
	LongestLease time.Duration
	// SilentAfter is how long a worker may leave the owner without an answer before it gets no new tasks.
	SilentAfter time.Duration
	// The pause after a failed attempt doubles from FirstBackoff to MaxBackoff.
	FirstBackoff, MaxBackoff time.Duration
	// CheckpointInterval is how often the owner asks for a checkpoint; 0 if workers save progress by themselves.
	CheckpointInterval time.Duration
	// StopRepeatDelay is how long the worker may take to stop an attempt before the stop is sent again.
	StopRepeatDelay time.Duration
	// SyncRenewsAll is set if a sync renews every lease of the worker. Its list of renewals is then empty.
	SyncRenewsAll bool
	// AwaitEvacuations is set if nothing may start while the data centres under evacuation are not known.
	AwaitEvacuations bool
	// ChargeAllFailures also counts failures on quarantined workers against the retries of a task.
	ChargeAllFailures bool
	// SpeculativeCopies lets overdue tasks of groups that allow it run a second time on another worker.
	SpeculativeCopies bool
}

// DefaultPolicy returns the policy for the worker protocol of this project.
func DefaultPolicy() Policy {
	return Policy{
		LeaseDuration:      LeaseDuration,
		LeaseMargin:        LeaseMargin,
		SilentAfter:        silentAfter,
		FirstBackoff:       firstBackoff,
		MaxBackoff:         maxBackoff,
		CheckpointInterval: checkpointInterval,
		SpeculativeCopies:  true,
	}
}

// SetPolicy replaces the policy. It must be called before the first event.
func (c *Cell) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy = p
}
