package placement

// fitFilter admits workers with enough free resources in every dimension.
type fitFilter struct{}

func (fitFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.Booking.Fits(n.Available())
}
