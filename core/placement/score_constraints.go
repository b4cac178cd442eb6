package placement

// fillerScore prefers workers that leave a filler the most processors.
type fillerScore struct{}

func (fillerScore) Score(_ Snapshot, _ *Request, n NodeInfo) float64 {
	left := float64(max(n.Available().MilliCPU, 0)) / float64(1+n.Fillers())
	return left / float64(max(n.Worker().Capacity.MilliCPU, 1))
}

// rackScore prefers the rack of the data. Elsewhere a task takes half as long again, which outweighs the other scores.
type rackScore struct{}

func (rackScore) Score(_ Snapshot, r *Request, n NodeInfo) float64 {
	if n.Worker().Rack == r.Constraints.Rack {
		return 1
	}
	return 0
}
