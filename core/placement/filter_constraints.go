package placement

import "slices"

// poolFilter admits the workers of the pool that the job needs.
type poolFilter struct{}

func (poolFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.Pool == "" || r.Pool == n.Worker().Pool
}

// labelFilter admits workers with the label that the task needs.
type labelFilter struct{}

func (labelFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.Constraints.Label == "" || slices.Contains(n.Worker().Labels, r.Constraints.Label)
}

// perWorkerFilter keeps to the most tasks of a group that one worker may run.
type perWorkerFilter struct{}

func (perWorkerFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	most := r.Constraints.MaxPerWorker
	return most == 0 || n.GroupTasks(r.Task) < most
}

// apartFilter keeps fillers away from serving tasks. How much a filler disturbs a serving task changes within seconds,
// and is known only from measurements that arrive late.
type apartFilter struct{}

func (apartFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	switch {
	case r.Constraints.Filler:
		return n.Serving() == 0
	case r.Constraints.Serving:
		return n.Fillers() == 0
	default:
		return true
	}
}
