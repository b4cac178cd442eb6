package placement

// quarantineFilter gives a quarantined worker one probe at a time, and only while it accepts probes. Urgent tasks
// are not used as probes unless they have waited for a sound worker. Lasting tasks on the worker do not prevent a probe,
// since they never end; a lasting task that has not waited is itself used as a probe only on an empty worker. A restart
// for which only such workers are left may go there.
type quarantineFilter struct{}

func (quarantineFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	if !n.Worker().Quarantined {
		return true
	}
	if r.LastResort {
		return n.Worker().LastResort
	}
	if !n.Worker().AcceptsProbe || r.Urgent && !r.Probe {
		return false
	}
	if r.Lasting && !r.Probe {
		return n.Tasks() == 0
	}
	return n.FiniteTasks() == 0
}
