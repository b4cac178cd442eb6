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

func (r *planRun) signatureOf(t *task) taskSignature {
	return taskSignature{t.id.Job, t.id.Group(), len(t.avoid), len(t.avoid) > 0 && r.hasQueued(t), r.maxTail(t)}
}

// hasQueued reports whether the task has been queued for Options.ReserveAfter.
func (r *planRun) hasQueued(t *task) bool { return r.queuedFor(t) >= r.opts.ReserveAfter }

// queuedFor returns how long the task has been queued. Before the first Plan the time is not known.
func (r *planRun) queuedFor(t *task) time.Duration {
	if t.queuedAt == noTime {
		t.queuedAt = r.now
	}
	return r.now.since(t.queuedAt)
}
