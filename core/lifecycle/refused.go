package lifecycle

import (
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Retention limits which finished jobs are forgotten. A job with a client number must be remembered as long as an entry in
// the inbox may still name it, because it would run again otherwise. The zero value sets no limit.
type Retention struct {
	Limited bool
	// FinishedBefore is the time before which a job must have finished to be forgotten.
	FinishedBefore time.Time
	// Keep holds jobs that are not forgotten.
	Keep map[ident.JobID]struct{}
}

func (r Retention) keeps(j *job) bool {
	if !r.Limited || !j.id.CallerAssigned() {
		return false
	}
	_, kept := r.Keep[j.id]
	return kept || !j.keptSince.Before(r.FinishedBefore)
}

// SetRetention limits which finished jobs the next snapshots forget.
func (c *Cell) SetRetention(r Retention) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retention = r
}

// AcceptAsFailed returns the record of a job that was acknowledged to its caller but cannot run. The job ends as failed,
// with the reason, once the record is durable. The job must have a client number that the cell does not know.
func (c *Cell) AcceptAsFailed(now time.Time, spec JobSpec, reason string) (ident.JobID, Effects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec.Validate() != nil {
		// What cannot be decoded, or is beyond the limits of this build, is kept as a job of one task.
		spec = JobSpec{
			Class: ident.ClassName(strings.ToValidUTF8(string(spec.Class[:min(len(spec.Class), MaxNameBytes)]), "")), ClientNumber: spec.ClientNumber,
			Groups: []TaskGroup{{Count: 1, Need: resource.Vector{MilliCPU: 1}}},
		}
	}
	spec.ResolveClass(c.table)
	return c.acceptNumbered(now, spec, reason)
}

// acceptNumbered returns the record of a job with a client number that the cell does not know. refused is the reason why
// the job ends as failed; empty if it is to run.
func (c *Cell) acceptNumbered(now time.Time, spec JobSpec, refused string) (ident.JobID, Effects) {
	id := ident.CallerAssignedJobID(c.id, spec.ClientNumber)
	spec.ClientToken = spec.idempotencyToken(c.id)
	c.tokens[spec.ClientToken] = acceptedSubmission{job: id, spec: spec}
	return id, Effects{Records: []Record{JobAccepted{Job: id, Spec: spec, At: now, Refused: refused}}}
}

// failUnstarted ends all tasks of a job of which none was started.
func (c *Cell) failUnstarted(now time.Time, j *job, reason string) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state.Final() {
			continue
		}
		t.settled = true
		t.wait = WaitNone
		t.message = reason
		c.setState(now, t, Failed)
	}
}
