package lifecycle

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// ResolveClass sets the fields that come from the table. It returns false if the table is nil or lacks the class.
func (s *JobSpec) ResolveClass(t *table.Table) bool {
	if t == nil {
		return false
	}
	row, ok := t.Lookup(s.Class)
	if !ok {
		return false
	}
	s.Tenant, s.Kind, s.MaxFailures, s.TableRevision = row.Tenant, row.Kind, maxFailures(row), t.Revision()
	return true
}

// idempotencyToken returns the client token, or one that is derived from the client number; empty if there is neither.
func (s JobSpec) idempotencyToken(cell ident.CellID) string {
	if s.ClientNumber != 0 && s.ClientToken == "" {
		return ident.CallerAssignedJobID(cell, s.ClientNumber).String()
	}
	return s.ClientToken
}

// SameWork compares two submissions without the fields that come from the table, which may change between them.
func SameWork(a, b JobSpec) bool {
	return a.Name == b.Name && a.Class == b.Class && a.Pool == b.Pool && a.FailFast == b.FailFast &&
		slices.EqualFunc(a.Groups, b.Groups, TaskGroup.equal)
}

// recordedPrecision is the precision of the durations in records of earlier releases.
const recordedPrecision = time.Millisecond

// equal reports whether two groups describe the same work, also if one of them was read from a record: durations count to
// recordedPrecision, and no job has more than MaxTasksPerJob tasks on a worker.
func (g TaskGroup) equal(o TaskGroup) bool {
	return g.Count == o.Count && g.Need == o.Need && g.Command == o.Command &&
		g.RunTime.Truncate(recordedPrecision) == o.RunTime.Truncate(recordedPrecision) &&
		g.TailTarget.Truncate(recordedPrecision) == o.TailTarget.Truncate(recordedPrecision) &&
		slices.Equal(g.After, o.After) && g.Lasting == o.Lasting && g.Volatile == o.Volatile &&
		g.DisruptionBudget == o.DisruptionBudget && g.Speculative == o.Speculative &&
		withEffectiveSpread(g.Constraints) == withEffectiveSpread(o.Constraints)
}

func withEffectiveSpread(c placement.Constraints) placement.Constraints {
	c.MaxPerWorker = min(c.MaxPerWorker, MaxTasksPerJob)
	return c
}
