package placement

import (
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// mostlyFreeShare is the share of the capacity below which fillers do not wait for a better worker for longer than
	// mostlyFreePatience. Platforms require that a job with room for it has something running within 3 s while less
	// than half of the capacity is in use, whether the owner reaches it or not; the rest of that time is for the start
	// itself.
	mostlyFreeShare    = 0.5
	mostlyFreePatience = 1500 * time.Millisecond
	// maxPoolUses bounds the pools whose use is remembered.
	maxPoolUses = 64
)

// maxTail returns the tail, relative to the target, that a filler may be expected to cause. It rises with the time
// for which the filler waits, so that a filler that harms all serving tasks runs eventually, at the pace that
// pacing allows. While most of the capacity is free it rises sooner: the filler starts on the worker where it does the
// least harm.
func (c *Cell) maxTail(t *task) float64 {
	switch waited := c.queuedFor(t); {
	case waited >= tailLimitTimeout:
		return math.Inf(1)
	case waited >= mostlyFreePatience && c.isMostlyFree(t.pool):
		return math.Inf(1)
	case waited >= c.opts.FillerPatience:
		return impatientMaxTail
	default:
		return highTail
	}
}

// poolUse is how much of the capacity of a pool is booked or claimed, as of one Plan.
type poolUse struct {
	planSeq uint64
	workers int
	share   float64
}

// isMostlyFree reports whether less than mostlyFreeShare of a pool of two or more workers is booked or claimed; an empty
// name stands for the whole cell. A single worker leaves no choice of where to do less harm.
func (c *Cell) isMostlyFree(pool string) bool {
	use := c.poolUse(pool)
	return use.workers >= 2 && use.share < mostlyFreeShare
}

// poolUse returns the use of the workers of a pool, or of all of the cell. It includes those that take no tasks because
// they are quarantined, silent, not listed or out of reach: most of the platform's capacity may be free although the
// workers that are left are full.
func (c *Cell) poolUse(pool string) poolUse {
	if use, ok := c.poolUses[pool]; ok && use.planSeq == c.planSeq {
		return use
	}
	var capacity, used resource.Vector
	use := poolUse{planSeq: c.planSeq}
	for _, n := range c.nodes {
		if !n.described || n.worker.Leaving && !n.worker.Unlisted || pool != "" && n.worker.Pool != pool {
			continue
		}
		use.workers++
		capacity = capacity.Add(n.worker.Capacity)
		used = used.Add(n.booked).Add(n.claimed)
	}
	for name, u := range c.unreached {
		if pool == "" || name == pool {
			use.workers += u.Workers
			capacity = capacity.Add(u.Capacity)
		}
	}
	use.share = used.DominantShare(capacity)
	if len(c.poolUses) >= maxPoolUses {
		clear(c.poolUses)
	}
	c.poolUses[pool] = use
	return use
}
