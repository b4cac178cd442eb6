package placement

import "math"

// fillerScore prefers workers that leave a filler the most processors.
type fillerScore struct{}

func (fillerScore) Score(_ Snapshot, _ *Request, n NodeInfo) float64 {
	left := float64(unusedMilliCPU(n)-n.FillerDemandMilliCPU()) / float64(max(n.Worker().Capacity.MilliCPU, 1))
	return 1 / (1 + math.Exp(-left))
}

// servingUseFraction is the fraction of its processors that a serving task is assumed to use, because it is sized
// for its peak.
const servingUseFraction = 0.5

// unusedMilliCPU estimates the processors, in thousandths, that the tasks on a worker other than fillers leave
// unused. Reserved ones count, because fillers give way when the reserved task starts.
func unusedMilliCPU(n NodeInfo) int64 {
	return n.Available().MilliCPU + n.Reserved().MilliCPU + int64((1-servingUseFraction)*float64(n.ServingMilliCPU()))
}

// servingScore puts serving tasks of one image together. A filler disturbs some images and not others, so that it
// then finds workers where it disturbs no task.
type servingScore struct{}

func (servingScore) Score(_ Snapshot, r *Request, n NodeInfo) float64 {
	if n.Serving() == 0 {
		return 0.5
	}
	return float64(n.ServingOf(r.Constraints.Image)) / float64(n.Serving())
}

// rackScore prefers the rack of the data. Elsewhere a task takes one and a half times as long, which outweighs the
// other scores.
type rackScore struct{}

func (rackScore) Score(_ Snapshot, r *Request, n NodeInfo) float64 {
	if n.Worker().Rack == r.Constraints.Rack {
		return 1
	}
	return 0
}
