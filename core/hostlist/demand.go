package hostlist

import "time"

// Demand says how current a list has to be for those who use it.
type Demand struct {
	// Needed is false while nobody uses the list. It need not be kept then.
	Needed bool
	// GatherTime is how long changes may be collected before they are passed on.
	GatherTime time.Duration
}

// DemandSource tells those who follow a list how current it has to be.
type DemandSource struct {
	// Current returns the present demand.
	Current func() Demand
	// Raised receives a value after the demand has risen, so that the list is read at once. Other changes may be noticed
	// late. It may be nil.
	Raised <-chan struct{}
}
