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

var refusalReasons = map[workerv1.Refusal]lifecycle.RefusalReason{
	workerv1.Refusal_REFUSAL_FENCED:       lifecycle.ReasonFenced,
	workerv1.Refusal_REFUSAL_CAPACITY:     lifecycle.ReasonCapacity,
	workerv1.Refusal_REFUSAL_UNKNOWN_TASK: lifecycle.ReasonUnknownTask,
	workerv1.Refusal_REFUSAL_EXPIRED:      lifecycle.ReasonExpired,
	workerv1.Refusal_REFUSAL_ENDED:        lifecycle.ReasonEnded,
	workerv1.Refusal_REFUSAL_LEAVING:      lifecycle.ReasonLeaving,
	workerv1.Refusal_REFUSAL_UNCLAIMED:    lifecycle.ReasonUnclaimed,
}

// decodeAnswer decodes the refusal of a reply. A reason that this version does not know is also a refusal, because the
// worker did not act.
func decodeAnswer(r workerv1.Refusal) lifecycle.Answer {
	if r == workerv1.Refusal_REFUSAL_UNSPECIFIED {
		return lifecycle.Answer{Outcome: lifecycle.Applied}
	}
	return lifecycle.Answer{Outcome: lifecycle.Refused, Reason: refusalReasons[r]}
}

// decodeClaimAnswer decodes the report of a reply. An invalid report yields the zero ClaimAnswer, as if no reply came.
func decodeClaimAnswer(answer lifecycle.Answer, reportMessage *workerv1.Report) jobs.ClaimAnswer {
	if answer.Outcome != lifecycle.Applied {
		return jobs.ClaimAnswer{Answer: answer}
	}
	report := lifecycle.Report{Capacity: decodeVector(reportMessage.GetCapacity()), Token: reportMessage.GetToken()}
	if !isPlausible(report.Capacity) {
		return jobs.ClaimAnswer{}
	}
	for _, message := range reportMessage.GetActive() {
		attempt, err := decodeAttemptID(message.GetRun())
		if err != nil {
			return jobs.ClaimAnswer{}
		}
		active := lifecycle.ActiveAttempt{
			AttemptID: attempt, Booked: decodeVector(message.GetBooked()), Usage: decodeVector(message.GetUsage()), Slowdown: decodeSlowdown(message.GetSlowdown()),
			MeasurementAge: decodeAge(message.GetAgeMs()),
			Checkpoint:     lifecycle.Checkpoint{ID: message.GetCheckpoint()},
			// The protocol has no start-up phase.
			Ready: true,
		}
		if !isPlausible(active.Booked) || !isPlausible(active.Usage) {
			return jobs.ClaimAnswer{}
		}
		report.Active = append(report.Active, active)
	}
	ends, err := decodeEnds(reportMessage.GetEnded())
	if err != nil {
		return jobs.ClaimAnswer{}
	}
	report.Ended = ends
	return jobs.ClaimAnswer{Answer: answer, Incarnation: reportMessage.GetIncarnation(), Report: report}
}

// maxResourceAmount bounds the amount of each resource of a worker, so that the sums over a cell do not overflow.
const maxResourceAmount = 1 << 40

// isPlausible reports whether all amounts are between 0 and maxResourceAmount.
func isPlausible(v resource.Vector) bool {
	return v.NonNegative() && v.Fits(resource.Vector{MilliCPU: maxResourceAmount, MemoryMB: maxResourceAmount, Accelerators: maxResourceAmount})
}

// decodeSlowdown returns 0, which stands for no measurement, for a slowdown that is NaN, infinite or negative. Such a
// value would corrupt every estimate that includes it.
func decodeSlowdown(s float64) float64 {
	if math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
		return 0
	}
	return s
}

// maxMeasurementAge bounds the ages of measurements, so that an invalid one does not overflow to a small age.
const maxMeasurementAge = 24 * time.Hour

func decodeAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxMeasurementAge.Milliseconds())) * time.Millisecond
}

var attemptEnds = map[workerv1.End]lifecycle.End{
	workerv1.End_END_NEVER_STARTED: lifecycle.EndNeverStarted,
	workerv1.End_END_DONE:          lifecycle.EndDone,
	workerv1.End_END_FAILED:        lifecycle.EndFailed,
	workerv1.End_END_EVICTED:       lifecycle.EndEvicted,
	workerv1.End_END_STOPPED:       lifecycle.EndStopped,
	workerv1.End_END_LAPSED:        lifecycle.EndLapsed,
}

func decodeEnds(messages []*workerv1.Ended) ([]lifecycle.EndedAttempt, error) {
	var out []lifecycle.EndedAttempt
	for _, e := range messages {
		attempt, err := decodeAttemptID(e.GetRun())
		if err != nil {
			return nil, err
		}
		end, known := attemptEnds[e.GetEnd()]
		if !known {
			return nil, fmt.Errorf("attempt %d of task %s: unknown end %d", attempt.Attempt, attempt.Task, e.GetEnd())
		}
		out = append(out, lifecycle.EndedAttempt{
			AttemptID: attempt, End: end, Checkpoint: lifecycle.Checkpoint{ID: e.GetCheckpoint()}, Message: e.GetMessage(),
		})
	}
	return out, nil
}

func decodeAttemptID(r *workerv1.Run) (lifecycle.AttemptID, error) {
	id, err := ident.ParseTaskID(r.GetTask())
	return lifecycle.AttemptID{Task: id, Attempt: ident.Attempt(r.GetAttempt())}, err
}

func encodeAttemptID(a lifecycle.AttemptID) *workerv1.Run {
	return &workerv1.Run{Task: a.Task.String(), Attempt: uint32(a.Attempt)}
}

func encodeAttemptIDs(attempts []lifecycle.AttemptID) []*workerv1.Run {
	out := make([]*workerv1.Run, len(attempts))
	for i, a := range attempts {
		out[i] = encodeAttemptID(a)
	}
	return out
}

func decodeVector(v *workerv1.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.GetMilliCpu(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators()}
}

func encodeVector(v resource.Vector) *workerv1.Vector {
	return &workerv1.Vector{MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}
