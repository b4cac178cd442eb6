package jobs

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// recoveryInterval is how often an owner logs what its recovery waits for.
const recoveryInterval = time.Second

// recoveryReasons says why the recovery holds tasks.
var recoveryReasons = map[lifecycle.RecoveryPhase]string{
	lifecycle.AwaitingRuns: "a worker has not listed what it runs",
	lifecycle.AwaitingEnds: "a worker may list further ends",
}

// recoveryTracker is what the owner has logged of its recovery. The loop uses it.
type recoveryTracker struct {
	phase lifecycle.RecoveryPhase
	// counts are those of the last look in the phase, at checkedAt; zero before the first one.
	counts    lifecycle.RecoveryCounts
	checkedAt time.Time
}

// checkRecovery logs which tasks the owner holds after it took the cell over, and when it releases them.
func (o *owner) checkRecovery(now time.Time) {
	r := &o.recovery
	if r.phase == lifecycle.Recovered {
		return
	}
	phase := o.cell.RecoveryPhase()
	if phase != r.phase {
		if r.counts.Held > 0 {
			o.logRecovery(EventRecoveryReleased, now)
		}
		*r = recoveryTracker{phase: phase}
	}
	if phase == lifecycle.Recovered {
		o.logger.Info("every worker of the cell has answered or lapsed, and the table is known")
		return
	}
	if now.Sub(r.checkedAt) < recoveryInterval {
		return
	}
	r.checkedAt = now
	if r.counts = o.cell.RecoveryCounts(); r.counts.Held > 0 {
		o.logRecovery(EventRecoveryWaits, now)
	}
}

func (o *owner) logRecovery(e EventName, now time.Time) {
	r := &o.recovery
	fields := Fields{
		FieldReason: recoveryReasons[r.phase], FieldWaitedMs: now.Sub(o.acquiredAt).Milliseconds(), FieldTasks: r.counts.Held,
		FieldLasting: r.counts.HeldLasting, FieldUnanswered: r.counts.Unanswered,
	}
	if e == EventRecoveryWaits && !r.counts.RunsEndAt.IsZero() {
		fields[FieldRunsEndMs] = r.counts.RunsEndAt.Sub(now).Milliseconds()
	}
	o.logDecision(e, fields)
}
