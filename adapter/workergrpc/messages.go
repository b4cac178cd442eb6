package workergrpc

import (
	"fmt"
	"math"
	"time"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

var reasons = map[workerv1.Refusal]lifecycle.RefusalReason{
	workerv1.Refusal_REFUSAL_FENCED:       lifecycle.ReasonFenced,
	workerv1.Refusal_REFUSAL_CAPACITY:     lifecycle.ReasonCapacity,
	workerv1.Refusal_REFUSAL_UNKNOWN_TASK: lifecycle.ReasonUnknownTask,
	workerv1.Refusal_REFUSAL_EXPIRED:      lifecycle.ReasonExpired,
	workerv1.Refusal_REFUSAL_ENDED:        lifecycle.ReasonEnded,
	workerv1.Refusal_REFUSAL_LEAVING:      lifecycle.ReasonLeaving,
	workerv1.Refusal_REFUSAL_UNCLAIMED:    lifecycle.ReasonUnclaimed,
}

// answerIn maps a refusal. One that this version does not know is still a refusal: the worker did not act.
func answerIn(r workerv1.Refusal) lifecycle.Answer {
	if r == workerv1.Refusal_REFUSAL_UNSPECIFIED {
		return lifecycle.Answer{Outcome: lifecycle.Applied}
	}
	return lifecycle.Answer{Outcome: lifecycle.Refused, Reason: reasons[r]}
}

// claimIn decodes a report. A report that cannot be read counts as no answer.
func claimIn(a lifecycle.Answer, r *workerv1.Report) jobs.ClaimAnswer {
	if a.Outcome != lifecycle.Applied {
		return jobs.ClaimAnswer{Answer: a}
	}
	report := lifecycle.Report{Capacity: vectorIn(r.GetCapacity()), Token: r.GetToken()}
	if !plausible(report.Capacity) {
		return jobs.ClaimAnswer{}
	}
	for _, x := range r.GetActive() {
		run, err := runIn(x.GetRun())
		if err != nil {
			return jobs.ClaimAnswer{}
		}
		active := lifecycle.ActiveAttempt{
			AttemptID: run, Booked: vectorIn(x.GetBooked()), Usage: vectorIn(x.GetUsage()), Slowdown: slowdownIn(x.GetSlowdown()),
			MeasurementAge: ageIn(x.GetAgeMs()),
			Checkpoint:     lifecycle.Checkpoint{ID: x.GetCheckpoint()},
		}
		if !plausible(active.Booked) || !plausible(active.Usage) {
			return jobs.ClaimAnswer{}
		}
		report.Active = append(report.Active, active)
	}
	ends, err := endsIn(r.GetEnded())
	if err != nil {
		return jobs.ClaimAnswer{}
	}
	report.Ended = ends
	return jobs.ClaimAnswer{Answer: a, Incarnation: r.GetIncarnation(), Report: report}
}

// maxAmount bounds what one worker can have of a resource, so that the sum over a cell does not overflow.
const maxAmount = 1 << 40

func plausible(v resource.Vector) bool {
	return v.NonNegative() && v.Fits(resource.Vector{MilliCPU: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount})
}

// slowdownIn reads a measurement. One that is no number counts as not measured: it would spoil every estimate that it
// enters.
func slowdownIn(s float64) float64 {
	if math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
		return 0
	}
	return s
}

// maxAge bounds the ages of measurements, so that a wrong one does not overflow into a young one.
const maxAge = 24 * time.Hour

func ageIn(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

var ends = map[workerv1.End]lifecycle.End{
	workerv1.End_END_NEVER_STARTED: lifecycle.EndNeverStarted,
	workerv1.End_END_DONE:          lifecycle.EndDone,
	workerv1.End_END_FAILED:        lifecycle.EndFailed,
	workerv1.End_END_EVICTED:       lifecycle.EndEvicted,
	workerv1.End_END_STOPPED:       lifecycle.EndStopped,
	workerv1.End_END_LAPSED:        lifecycle.EndLapsed,
}

func endsIn(in []*workerv1.Ended) ([]lifecycle.EndedAttempt, error) {
	var out []lifecycle.EndedAttempt
	for _, e := range in {
		run, err := runIn(e.GetRun())
		if err != nil {
			return nil, err
		}
		end, known := ends[e.GetEnd()]
		if !known {
			return nil, fmt.Errorf("attempt %d of task %s: unknown end %d", run.Attempt, run.Task, e.GetEnd())
		}
		out = append(out, lifecycle.EndedAttempt{
			AttemptID: run, End: end, Checkpoint: lifecycle.Checkpoint{ID: e.GetCheckpoint()}, Message: e.GetMessage(),
		})
	}
	return out, nil
}

func runIn(r *workerv1.Run) (lifecycle.AttemptID, error) {
	id, err := ident.ParseTaskID(r.GetTask())
	return lifecycle.AttemptID{Task: id, Attempt: ident.Attempt(r.GetAttempt())}, err
}

func runOut(r lifecycle.AttemptID) *workerv1.Run {
	return &workerv1.Run{Task: r.Task.String(), Attempt: uint32(r.Attempt)}
}

func runsOut(runs []lifecycle.AttemptID) []*workerv1.Run {
	out := make([]*workerv1.Run, len(runs))
	for i, r := range runs {
		out[i] = runOut(r)
	}
	return out
}

func vectorIn(v *workerv1.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.GetMilliCpu(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators()}
}

func vectorOut(v resource.Vector) *workerv1.Vector {
	return &workerv1.Vector{MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}
