package placement

// quarantineFilter gives a quarantined worker a single probe at a time, and only while it is to be probed. Urgent tasks
// are not used as probes. Lasting tasks that the worker has do not keep it from being probed, since they never end; one is
// sent there only if nothing else runs. A restart for which only such workers are left may go there.
type quarantineFilter struct{}

func (quarantineFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	if !n.Worker().Quarantined {
		return true
	}
	if r.LastResort {
		return n.Worker().LastResort
	}
	if !n.Worker().AcceptsProbe || r.Urgent {
		return false
	}
	if r.Lasting {
		return n.Tasks() == 0
	}
	return n.Ending() == 0
}
