package placement

import "time"

const (
	// exploreProbability is the probability that a batch placement may try an unseen pair of classes, and
	// maxTrialLoad the largest fraction of a worker's processors that such a task may book. Together they bound the
	// cost: a trial slows its neighbours down by at most maxTrialLoad times the true coefficient.
	exploreProbability = 0.05
	maxTrialLoad       = 1.0 / 16
	// maxTrialSlowdown is the expected slowdown of an urgent task above which no trial runs beside it. An unseen
	// pair stays below it.
	maxTrialSlowdown = 0.05
	// minUnseenDeviation is the standard deviation above which a pair counts as unseen: half that of the prior.
	minUnseenDeviation = 0.25

	// slowdownVariance is the variance of a slowdown measured while the tasks of the worker stayed the same.
	// staleSlowdownVariance applies to one measured before they changed, which says less about the present
	// neighbours.
	slowdownVariance      = 0.04
	staleSlowdownVariance = 4 * slowdownVariance
	// maxObservationAge is the age above which slowdowns are ignored.
	maxObservationAge = 5 * time.Minute
	// maxSlowdown caps a measurement, so that one wrong value cannot distort an estimate for long.
	maxSlowdown = 20
	// minLoad is the smallest load that is taken into account.
	minLoad = 0.01
)

// chooseTrialNode returns the candidate with the least known interference with the task, or nil if there should be
// no trial.
func (r *planRun) chooseTrialNode(req *Request) *node {
	if req.Urgent || r.rng.Float64() >= exploreProbability {
		return nil
	}
	var best *node
	largest := minUnseenDeviation
	for _, n := range r.candidates {
		if float64(req.Booking.MilliCPU) > maxTrialLoad*float64(n.worker.Capacity.MilliCPU) {
			continue
		}
		if r.harmsUrgentNeighbour(req, n) {
			continue
		}
		if d := r.maxDeviation(req.Class, n); d > largest && req.Booking.Fits(n.Available()) {
			best, largest = n, d
		}
	}
	return best
}

// harmsUrgentNeighbour reports whether a trial is expected to slow an urgent neighbour down by more than
// maxTrialSlowdown.
func (c *Cell) harmsUrgentNeighbour(req *Request, n *node) bool {
	fraction := float64(req.Booking.MilliCPU) / float64(max(n.worker.Capacity.MilliCPU, 1))
	for _, l := range n.loads {
		coefficient, _ := c.opts.Interference.Expect(l.Class, req.Class)
		if l.Urgent && coefficient*fraction > maxTrialSlowdown {
			return true
		}
	}
	return false
}

// maxDeviation returns the largest standard deviation among the pairs that a class would form on a worker.
func (c *Cell) maxDeviation(class int, n *node) float64 {
	largest := 0.0
	for _, l := range n.loads {
		_, own := c.opts.Interference.Expect(class, l.Class)
		_, other := c.opts.Interference.Expect(l.Class, class)
		largest = max(largest, own, other)
	}
	return largest
}

// learnSlowdown updates the estimates with a measured slowdown. The neighbours at the time of the measurement are
// not recorded: if tasks have come or gone since, the present neighbours stand in for them, with a higher variance.
func (c *Cell) learnSlowdown(t *task, o Observation) {
	at := c.stampOf(o.At)
	if o.Slowdown < 1 || at < t.startedAt || c.now.since(at) > maxObservationAge || t.unthrottledCPU > 0 {
		return
	}
	n := t.node
	processors := float64(max(n.worker.Capacity.MilliCPU, 1))
	loads := c.loadBuffer[:0]
	for _, l := range n.loads {
		milliCPU := l.MilliCPU
		if l.Class == t.class.index {
			milliCPU -= t.booked.MilliCPU
		}
		if fraction := float64(milliCPU) / processors; fraction >= minLoad {
			loads = append(loads, Load{Class: l.Class, Part: fraction})
		}
	}
	c.loadBuffer = loads
	variance := slowdownVariance
	if at < n.tasksChangedAt {
		variance = staleSlowdownVariance
	}
	c.opts.Interference.Learn(t.class.index, loads, min(o.Slowdown, maxSlowdown), variance)
}
