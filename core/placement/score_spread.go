package placement

// spreadScore prefers racks with few tasks of the same job.
type spreadScore struct{}

func (spreadScore) Score(s Snapshot, r *Request, n NodeInfo) float64 {
	return 1 / float64(1+s.JobTasksOnRack(r.Task.Job, n.Rack()))
}
