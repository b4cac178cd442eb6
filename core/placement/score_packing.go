package placement

// packingScore prefers workers that the task fills up, so that large tasks find capacity elsewhere. Tasks that need
// no accelerators prefer workers without them.
type packingScore struct{}

func (packingScore) Score(_ Snapshot, r *Request, n NodeInfo) float64 {
	capacity := n.Worker().Capacity
	left := n.Available().Sub(r.Booking).DominantShare(capacity)
	score := 1 - left
	if capacity.Accelerators > 0 && r.Booking.Accelerators == 0 {
		score /= 2
	}
	return score
}
