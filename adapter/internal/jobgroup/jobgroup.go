// Package jobgroup converts the task groups of a job to protobuf messages and back. The cell log, the snapshots and the
// calls between hosts share these messages.
package jobgroup

import (
	"math"
	"time"

	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// maxDurationMs is the longest time.Duration in whole milliseconds.
const maxDurationMs = math.MaxInt64 / int64(time.Millisecond)

// ToMessages converts groups to messages. A negative count becomes 0, which every cell rejects.
func ToMessages(groups []lifecycle.TaskGroup) []*cellv1.TaskGroup {
	var out []*cellv1.TaskGroup
	for _, g := range groups {
		out = append(out, &cellv1.TaskGroup{
			Count: uint32(max(g.Count, 0)),
			Need: &cellv1.Vector{
				MilliCpu: g.Need.MilliCPU, MemoryMb: g.Need.MemoryMB, Accelerators: g.Need.Accelerators,
			},
			RunTimeMs:    g.RunTime.Milliseconds(),
			Command:      g.Command,
			After:        convertInts[uint32](g.After),
			Lasting:      g.Lasting,
			Volatile:     g.Volatile,
			Constraints:  encodeConstraints(g.Constraints),
			TailTargetMs: g.TailTarget.Milliseconds(),
			TailTargetNs: g.TailTarget.Nanoseconds(),

			DisruptionBudget: uint32(max(g.DisruptionBudget, 0)),
			Speculative:      g.Speculative,
		})
	}
	return out
}

// FromMessages converts messages to groups. It only limits durations to their range; the cell validates the job.
func FromMessages(groups []*cellv1.TaskGroup) []lifecycle.TaskGroup {
	var in []lifecycle.TaskGroup
	for _, g := range groups {
		in = append(in, lifecycle.TaskGroup{
			Count: int(g.GetCount()),
			Need: resource.Vector{
				MilliCPU: g.GetNeed().GetMilliCpu(), MemoryMB: g.GetNeed().GetMemoryMb(),
				Accelerators: g.GetNeed().GetAccelerators(),
			},
			RunTime:     DurationFromMs(g.GetRunTimeMs()),
			Command:     g.GetCommand(),
			After:       convertInts[int](g.GetAfter()),
			Lasting:     g.GetLasting(),
			Volatile:    g.GetVolatile(),
			Constraints: decodeConstraints(g.GetConstraints()),
			TailTarget:  max(DurationFromMs(g.GetTailTargetMs()), time.Duration(g.GetTailTargetNs())),

			DisruptionBudget: int(g.GetDisruptionBudget()),
			Speculative:      g.GetSpeculative(),
		})
	}
	return in
}

// DurationFromMs converts milliseconds to a duration. A value outside the range of time.Duration is clamped to it, so
// that it cannot overflow.
func DurationFromMs(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxDurationMs), maxDurationMs)) * time.Millisecond
}

func convertInts[To, From int | uint32](numbers []From) []To {
	var out []To
	for _, n := range numbers {
		out = append(out, To(n))
	}
	return out
}

func encodeConstraints(c placement.Constraints) *cellv1.Constraints {
	if c == (placement.Constraints{}) {
		return nil
	}
	return &cellv1.Constraints{
		Label: c.Label, Rack: string(c.Rack), MaxPerWorker: uint32(min(max(c.MaxPerWorker, 0), math.MaxUint32)), Serving: c.Serving,
		Filler: c.Filler, Image: c.Image,
	}
}

func decodeConstraints(c *cellv1.Constraints) placement.Constraints {
	return placement.Constraints{
		Label: c.GetLabel(), Rack: ident.Rack(c.GetRack()), MaxPerWorker: int(c.GetMaxPerWorker()),
		Serving: c.GetServing(), Filler: c.GetFiller(), Image: c.GetImage(),
	}
}
