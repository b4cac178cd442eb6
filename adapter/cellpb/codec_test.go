package cellpb

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

var (
	at      = time.UnixMilli(1_700_000_000_123)
	job     = ident.JobID{Cell: 3, Epoch: 9, Seq: 4}
	attempt = lifecycle.AttemptID{Task: ident.TaskID{Job: job, Index: 2}, Attempt: 66}
	spec    = lifecycle.JobSpec{
		Name: "n", Class: "c", Tenant: "t", Kind: "batch", MaxFailures: 3, ClientToken: "k",
		ClientNumber: 1<<63 + 5, Pool: "p", FailFast: true, Stretch: 1.5, Grace: time.Second,
		Groups: []lifecycle.TaskGroup{{
			Count: 3, Need: resource.Vector{MilliCPU: 1, MemoryMB: 2, Accelerators: 3},
			RunTime: time.Second, Command: "run", Speculative: true,
		}, {
			Count: 2, Need: resource.Vector{MilliCPU: 1}, After: []int{0}, Lasting: true, Volatile: true, TailTarget: time.Second, DisruptionBudget: 1,
			Constraints: placement.Constraints{Label: "l", Rack: "r", MaxPerWorker: 2, Serving: true, Filler: true, Image: "i"},
		}},
	}
	checkpoint = lifecycle.Checkpoint{ID: "c1", At: at}
)

// Guards against a record that loses a field when it is encoded: the next owner would rebuild a different state.
func TestRecordsRoundTrip(t *testing.T) {
	want := []lifecycle.Record{
		lifecycle.JobAccepted{Job: job, Spec: spec, At: at},
		lifecycle.JobAccepted{Job: job, Spec: spec, At: at, Refused: "too large"},
		lifecycle.JobCancelled{Job: job, At: at, MaybeSent: []uint32{0, 2}},
		lifecycle.TaskDone{AttemptID: attempt, At: at},
		lifecycle.TaskFailed{AttemptID: attempt, Worker: "w", Message: "m", Final: true, At: at},
		lifecycle.TaskEvicted{AttemptID: attempt, Checkpoint: checkpoint, Preempted: true, At: at},
		lifecycle.CheckpointSaved{AttemptID: attempt, Checkpoint: checkpoint},
		lifecycle.CheckpointConsumed{AttemptID: attempt, Checkpoint: "c1"},
		lifecycle.AttemptsUsed{AttemptID: attempt},
		lifecycle.WorkerAdded{Worker: "w", Address: "a"},
		lifecycle.WorkerSilent{Worker: "w", Address: "a", Since: -time.Second, At: time.Minute},
		lifecycle.WorkerRemoved{Worker: "w"},
		lifecycle.Takeover{Epoch: 9, Clean: true, LongestLease: 6 * time.Second},
	}
	value, err := Codec{}.EncodeBatch("marker", want)
	require.NoError(t, err)
	marker, got, err := Codec{}.DecodeBatch(value)
	require.NoError(t, err)
	require.Equal(t, "marker", marker)
	require.Equal(t, want, got)
}

// Guards against a snapshot part that exceeds the store's limit on values, and against a job that loses tasks when it
// is split.
func TestSnapshotSplitsLargeJobs(t *testing.T) {
	want := lifecycle.Snapshot{
		LongestLease: 6 * time.Second,
		Workers:      []lifecycle.WorkerAdded{{Worker: "w", Address: "a"}},
		Silent:       []lifecycle.WorkerSilent{{Worker: "w", Address: "a", Since: -time.Second, At: time.Minute}},
	}
	largeJob := lifecycle.JobSnapshot{Job: job, Spec: spec, AcceptedAt: at, Cancelled: true, FinishedAt: at}
	for i := range uint32(1500) {
		largeJob.Tasks = append(largeJob.Tasks, lifecycle.TaskSnapshot{
			Index: i, State: lifecycle.Done, NextAttempt: 2, LastEnded: 1, LastRan: 1, MaybeSent: true, Evictions: 1, Checkpoint: checkpoint, Worker: "w", Copied: true,
			Failures: []lifecycle.Failure{{Attempt: 1, Worker: "w", Message: "m"}},
		})
	}
	want.Jobs = append(want.Jobs, largeJob, lifecycle.JobSnapshot{Job: ident.JobID{Cell: 3, Epoch: 9, Seq: 5}, Spec: spec})
	const maxBytes = 32 << 10
	parts, err := Codec{}.EncodeSnapshot(want, maxBytes)
	require.NoError(t, err)
	require.Greater(t, len(parts), 1)
	for _, p := range parts {
		require.LessOrEqual(t, len(p), maxBytes)
	}
	got, err := Codec{}.DecodeSnapshot(parts)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a panic on a value that another program wrote, and against accepting it.
func TestDecodeRejectsForeignValues(t *testing.T) {
	_, err := Codec{}.DecodeHead(nil)
	require.Error(t, err, "an empty value is no empty cell")
	_, _, err = Codec{}.DecodeBatch(nil)
	require.Error(t, err, "an empty value is no empty batch")
	_, _, err = Codec{}.DecodeBatch([]byte("not a batch"))
	require.Error(t, err)
	_, err = Codec{}.DecodeHead([]byte{0xff})
	require.Error(t, err)
	_, err = Codec{}.DecodeSnapshot([][]byte{{0xff}})
	require.Error(t, err)
}

// Guards against a stored value that causes a panic, and against a batch that changes when it is encoded and decoded
// again.
func FuzzDecode(f *testing.F) {
	value, err := Codec{}.EncodeBatch("marker", []lifecycle.Record{
		lifecycle.JobAccepted{Job: job, Spec: spec, At: at},
		lifecycle.TaskFailed{AttemptID: attempt, Worker: "w", Final: true, At: at},
		lifecycle.TaskEvicted{AttemptID: attempt, Checkpoint: checkpoint, At: at},
		lifecycle.Takeover{Epoch: 9},
	})
	require.NoError(f, err)
	f.Add(value)
	parts, err := Codec{}.EncodeSnapshot(lifecycle.Snapshot{Jobs: []lifecycle.JobSnapshot{{
		Job: job, Spec: spec, Tasks: []lifecycle.TaskSnapshot{{Index: 1, State: lifecycle.Done, Checkpoint: checkpoint}},
	}}}, 1<<20)
	require.NoError(f, err)
	f.Add(parts[0])
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		_, _ = Codec{}.DecodeHead(value)
		_, _ = Codec{}.DecodeSnapshot([][]byte{value, value})
		marker, records, err := Codec{}.DecodeBatch(value)
		if err != nil {
			return
		}
		again, err := Codec{}.EncodeBatch(marker, records)
		require.NoError(t, err)
		_, got, err := Codec{}.DecodeBatch(again)
		require.NoError(t, err)
		require.Equal(t, records, got)
	})
}

// Guards against estimates that change in a round trip, and against accepting a malformed value.
func TestEstimatesRoundTrip(t *testing.T) {
	want := placement.Estimates{
		Images: []placement.ImageEstimate{{Name: "web", BaselineTail: 0.4}, {Name: "etl", BaselineTail: 0.35}},
		Pairs:  []placement.PairEstimate{{Serving: 0, Filler: 1, Mean: 1.2, Variance: 0.01}},
	}
	value, err := Codec{}.EncodeEstimates(want)
	require.NoError(t, err)
	got, err := Codec{}.DecodeEstimates(value)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = Codec{}.DecodeEstimates([]byte{0xff})
	require.Error(t, err)
}
