package jobs

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// urgent reports whether callers of a class retry early. Without a table no class is known to be urgent.
func (s *Service) urgent(class ident.ClassName) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	row, ok := t.Lookup(class)
	return ok && row.Kind == table.LatencyCritical
}

// retryAfter returns when a caller should repeat a refused call, and counts the refusal.
func (s *Service) retryAfter(cause retry.Cause, lasted time.Duration, class ident.ClassName) time.Duration {
	s.stats.countRefusal(cause)
	return retry.After(cause, lasted, s.urgent(class), rand.Float64())
}

// retryAfterStore returns when a caller should repeat a call that failed for want of the store.
func (o *owner) retryAfterStore(class ident.ClassName) time.Duration {
	return o.retryAfter(retry.StoreUnavailable, o.log.failingFor(), class)
}

// withRetryAfter adds the time of a repeat to an error that has none.
func (r *Router) withRetryAfter(cell ident.CellID, spec lifecycle.JobSpec, err error) error {
	e := verdict.FromError(err)
	lasted := r.outages.lasted(cell)
	switch {
	case e.RetryAfter > 0 || isFinalRefusal(e):
		return err
	case r.local == nil:
		return e.WithRetryAfter(retry.After(retry.OwnerMissing, lasted, false, rand.Float64()))
	default:
		return e.WithRetryAfter(r.local.retryAfter(retry.OwnerMissing, lasted, spec.Class))
	}
}

// withRetryAfterUnknown adds the time of a repeat to the error of a call whose outcome is not known.
func (r *Router) withRetryAfterUnknown(cell ident.CellID, err error) error {
	if err == nil || verdict.FromError(err).Verdict != verdict.MayHaveRun {
		return err
	}
	return r.withRetryAfter(cell, lifecycle.JobSpec{}, err)
}

// outageMemory is how long after its last sign an outage of an owner counts as ended.
const outageMemory = 10 * time.Second

// outage is a time in which the owner of a cell has not answered this host.
type outage struct{ began, lastSign time.Time }

// outages holds the outages of the owners of cells. One cell is one shard.
type outages struct {
	byCell *shard.Map[ident.CellID, outage]
}

func newOutages() outages {
	return outages{shard.NewMap[ident.CellID, outage](ownerShards, func(c ident.CellID) uint64 { return uint64(c) })}
}

// note records whether the owner of a cell has answered a call.
func (o outages) note(cell ident.CellID, answered bool) {
	now := time.Now()
	o.byCell.WithShard(cell, func(entries map[ident.CellID]outage) {
		if answered {
			delete(entries, cell)
			return
		}
		present := entries[cell]
		if now.Sub(present.lastSign) > outageMemory {
			present.began = now
		}
		present.lastSign = now
		entries[cell] = present
	})
}

// lasted returns how long the owner of a cell has not answered; 0 if it answers.
func (o outages) lasted(cell ident.CellID) time.Duration {
	present, _ := o.byCell.Get(cell)
	if now := time.Now(); now.Sub(present.lastSign) <= outageMemory {
		return now.Sub(present.began)
	}
	return 0
}

// Refusals returns the number of answers with a time for a repeat, for one cause.
func (s *Stats) Refusals(cause retry.Cause) int64 {
	return s.refusals[cause].Load()
}

func (s *Stats) countRefusal(cause retry.Cause) {
	s.refusals[cause].Add(1)
}

// isFinalRefusal reports whether a repeat of the call would fail in the same way.
func isFinalRefusal(e *verdict.Error) bool {
	return e.Verdict == verdict.NotRun && (e.Code == verdict.CodeInvalid || e.Code == verdict.CodeConflict)
}
