package placement

import "github.com/bulrushrelay/bulrushrelay/core/resource"

// relieveOverload brings overloaded workers back within their capacity: by throttling batch tasks if only
// processors are short and that suffices, else by evicting the cheapest batch tasks. Urgent tasks are left alone; a
// worker without evictable tasks stays overloaded and gets no new tasks.
func (r *planRun) relieveOverload() {
	kept := r.overloadedNodes[:0]
	for _, n := range r.overloadedNodes {
		if r.workers[n.worker.ID] != n || n.deficit.IsZero() {
			n.overloaded = false
			continue
		}
		kept = append(kept, n)
		if n.described {
			r.relieveNode(n)
		}
	}
	clear(r.overloadedNodes[len(kept):])
	r.overloadedNodes = kept
}

func (r *planRun) relieveNode(n *node) {
	excess := n.deficit
	for _, t := range n.tasks {
		if t.state == evicting {
			excess = excess.Sub(t.desired)
		}
	}
	excess = excess.Max(resource.Vector{})
	if excess.IsZero() {
		return
	}
	if excess.MemoryMB == 0 && excess.Accelerators == 0 && r.throttleableNodeCPU(n, nil) >= excess.MilliCPU {
		r.throttle(n, excess.MilliCPU, nil)
		r.distributeFree(n)
		return
	}
	beneficiary := n.mostDeficientTask()
	for _, option := range r.optionsByCost(n, excess) {
		v := option.task
		if excess.IsZero() {
			break
		}
		if minPerDimension(v.desired, excess).IsZero() {
			continue
		}
		r.evict(v, beneficiary)
		excess = excess.Sub(v.desired).Max(resource.Vector{})
	}
}

// mostDeficientTask returns the task that lacks the largest share of its desired booking.
func (n *node) mostDeficientTask() *task {
	var neediest *task
	largestShare := -1.0
	for _, t := range n.tasks {
		if s := t.desired.Sub(t.booked).DominantShare(n.worker.Capacity); s > largestShare {
			neediest, largestShare = t, s
		}
	}
	return neediest
}
