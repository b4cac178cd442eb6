package placement

import "slices"

// poolFilter admits the workers of the pool that the task needs.
type poolFilter struct{}

func (poolFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.Pool == "" || r.Pool == n.Worker().Pool
}

// labelFilter admits workers with the label that the task needs.
type labelFilter struct{}

func (labelFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.Constraints.Label == "" || slices.Contains(n.Worker().Labels, r.Constraints.Label)
}

// perWorkerFilter enforces Constraints.MaxPerWorker.
type perWorkerFilter struct{}

func (perWorkerFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	limit := r.Constraints.MaxPerWorker
	return limit == 0 || n.GroupTasks(r.Task) < limit
}

// fillerFilter admits fillers while the unused processors of the worker suffice for all of them, and a single
// filler on any worker. Fillers that share too few processors all end late, so that in a flood it is better to let
// some wait. startIdleJobs makes an exception.
type fillerFilter struct{}

func (fillerFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	if !r.Constraints.Filler || n.Fillers() == 0 || r.SharesProcessors {
		return true
	}
	return r.DemandMilliCPU+n.FillerDemandMilliCPU() <= unusedMilliCPU(n)
}
