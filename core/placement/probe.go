package placement

// chooseProbe returns a quarantined worker that awaits a probe and can hold the task, or nil. It serves urgent and
// lasting tasks that have waited for a sound worker. Other tasks are used as probes without waiting, but there may be
// none, and the quarantine of a worker ends only after a probe.
func (r *planRun) chooseProbe(t *task) *node {
	if r.probingWorkers == 0 || !t.class.urgent && !t.lasting || r.limitReached() || r.now.since(t.blockedSince) < r.opts.ReserveAfter {
		return nil
	}
	req := r.request(t)
	req.Probe = true
	return r.chooseQuarantined(t, &req, func(n *node) bool { return n.acceptsTasks() })
}
