package placement

// quarantineFilter gives a quarantined worker a single probe at a time, and only while it is to be probed. Urgent tasks
// are not used as probes. Lasting tasks that the worker has do not keep it from being probed, since they never end; one is
// sent there only if nothing else runs.
type quarantineFilter struct{}

func (quarantineFilter) Admits(_ Snapshot, r *Request, n NodeInfo) bool {
	if !n.Worker().Quarantined {
		return true
	}
	if !n.Worker().Probe || r.Urgent {
		return false
	}
	if r.Lasting {
		return n.Tasks() == 0
	}
	return n.Ending() == 0
}
