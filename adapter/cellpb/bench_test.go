package cellpb

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// BenchmarkBatch measures the size of one commit of a cell log and the time to encode it. One record in 50 accepts a
// job; the others end a task. Run it with: go test -run '^$' -bench Batch ./adapter/cellpb
func BenchmarkBatch(b *testing.B) {
	const tasksPerJob = 50
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			records := make([]lifecycle.Record, n)
			for i := range records {
				id := ident.JobID{Cell: 100, Epoch: 1_000_000, Seq: uint64(10_000 + i)}
				records[i] = lifecycle.TaskDone{AttemptID: lifecycle.AttemptID{Task: ident.TaskID{Job: id, Index: 30}, Attempt: 1}, At: at}
				if i%tasksPerJob == tasksPerJob-1 {
					records[i] = lifecycle.JobAccepted{Job: id, Spec: spec, At: at}
				}
			}
			size := 0
			for b.Loop() {
				value, err := Codec{}.EncodeBatch("0190c5f0-0000-7000-8000-000000000000", records)
				require.NoError(b, err)
				size = len(value)
			}
			b.ReportMetric(float64(size), "B/commit")
		})
	}
}
