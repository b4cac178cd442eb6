package placement

import "slices"

// avoidFilter rules out workers on which the task has failed, until the task has waited for another one. The workers
// that it does not avoid may be full for good.
type avoidFilter struct{}

func (avoidFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return r.HasWaited || !slices.Contains(r.Avoid, n.Worker().ID)
}

// preferUnavoidedFilter is used for preference: it admits the workers on which the task has not failed.
type preferUnavoidedFilter struct{}

func (preferUnavoidedFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	return !slices.Contains(r.Avoid, n.Worker().ID)
}
