package workergrpc

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Guards against a reply from a worker that causes a panic, that counts as applied although it is invalid, or whose
// amounts and measurements corrupt the sums and estimates of its cell.
func FuzzWorkerAnswers(f *testing.F) {
	run := &workerv1.Run{Task: "1-2-3.4", Attempt: 5}
	for _, r := range []*workerv1.Report{
		{Incarnation: "1", Token: "2", Capacity: &workerv1.Vector{MilliCpu: 8000, MemoryMb: 16}, Active: []*workerv1.Active{{Run: run, Slowdown: 1.5, AgeMs: 10}}},
		{Capacity: &workerv1.Vector{MilliCpu: -1}},
		{Capacity: &workerv1.Vector{MemoryMb: math.MaxInt64}},
		{Active: []*workerv1.Active{{Run: run, Slowdown: math.NaN(), AgeMs: math.MaxInt64}}},
		{Active: []*workerv1.Active{{Run: run, Usage: &workerv1.Vector{MilliCpu: math.MinInt64}}}},
		{Ended: []*workerv1.Ended{{Run: run, End: workerv1.End_END_DONE}, {Run: run, End: 99}, {Run: &workerv1.Run{Task: "x"}}}},
	} {
		b, err := proto.Marshal(r)
		require.NoError(f, err)
		f.Add(b, int32(0))
		f.Add(b, int32(99))
	}
	f.Fuzz(func(t *testing.T, b []byte, refusal int32) {
		var r workerv1.Report
		if proto.Unmarshal(b, &r) != nil {
			return
		}
		claim := decodeClaimAnswer(decodeAnswer(workerv1.Refusal(refusal)), &r)
		require.Equal(t, refusal != 0, claim.Outcome == lifecycle.Refused)
		require.True(t, isPlausible(claim.Report.Capacity))
		for _, a := range claim.Report.Active {
			require.True(t, isPlausible(a.Booked) && isPlausible(a.Usage))
			require.True(t, a.Slowdown >= 0 && !math.IsInf(a.Slowdown, 0))
			require.GreaterOrEqual(t, a.MeasurementAge, time.Duration(0))
		}
		if claim.Outcome == lifecycle.Applied {
			require.Len(t, claim.Report.Active, len(r.GetActive()))
			require.Len(t, claim.Report.Ended, len(r.GetEnded()))
		}
	})
}
