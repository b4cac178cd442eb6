package placement

const (
	// urgentHarmWeight is the weight of a slowdown of urgent work relative to one of batch work.
	urgentHarmWeight = 4
	// cautionDeviations is how many standard deviations are added to the expected slowdown of urgent work. For
	// batch work the expectation is used, because batch work can be moved.
	cautionDeviations = 1
)

// interferenceScore prefers workers where the task causes and suffers the least slowdown.
type interferenceScore struct {
	model Interference
}

func (s interferenceScore) Score(_ Snapshot, r *Request, n NodeInfo) float64 {
	processors := float64(max(n.Worker().Capacity.MilliCPU, 1))
	own := float64(r.Booking.MilliCPU) / processors
	harm := 0.0
	for _, l := range n.Loads() {
		harm += s.weightedSlowdown(r.Urgent, r.Class, l.Class) * float64(l.MilliCPU) / processors
		harm += s.weightedSlowdown(l.Urgent, l.Class, r.Class) * own * float64(l.Tasks)
	}
	return 1 / (1 + harm)
}

// weightedSlowdown returns the weighted slowdown of a victim per unit of the aggressor's load.
func (s interferenceScore) weightedSlowdown(urgent bool, victim, aggressor int) float64 {
	mean, deviation := s.model.Expect(victim, aggressor)
	if urgent {
		return urgentHarmWeight * (mean + cautionDeviations*deviation)
	}
	return mean
}
