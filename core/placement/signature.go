package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// taskSignature is equal for tasks that placement cannot tell apart.
type taskSignature struct {
	job            ident.JobID
	group          int
	avoidedWorkers int
	hasWaited      bool
	maxTail        float64
}

func (c *Cell) signatureOf(t *task) taskSignature {
	return taskSignature{t.id.Job, t.id.Group(), len(t.avoid), len(t.avoid) > 0 && c.hasQueued(t), c.maxTail(t)}
}

// hasQueued reports whether the task has been queued for Options.ReserveAfter.
func (c *Cell) hasQueued(t *task) bool { return c.queuedFor(t) >= c.opts.ReserveAfter }

// queuedFor returns how long the task has been queued, which counts from the first Plan at the earliest.
func (c *Cell) queuedFor(t *task) time.Duration { return c.now.since(t.queuedAt) }
