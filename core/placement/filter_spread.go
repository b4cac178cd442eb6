package placement

// spreadSlack is how many tasks of a job a rack may hold beyond its equal share.
const spreadSlack = 1

// spreadFilter spreads the tasks of a job over the racks, so that the loss of a rack affects only part of the job.
// It is preferred, not required: a task that fits only on a rack above its share starts there.
type spreadFilter struct{}

func (spreadFilter) Admits(s Snapshot, r *Request, n NodeInfo) bool {
	racks := max(s.Racks(), 1)
	equalShare := (s.JobTasks(r.Task.Job) + racks) / racks
	return s.JobTasksOnRack(r.Task.Job, n.Rack()) < equalShare+spreadSlack
}
