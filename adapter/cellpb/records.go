// Package cellpb encodes the cell log and the snapshots of cells as protobuf messages.
package cellpb

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/jobgroup"
	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func recordOut(record lifecycle.Record) (*cellv1.Record, error) {
	out := &cellv1.Record{}
	switch r := record.(type) {
	case lifecycle.JobAccepted:
		out.Kind = &cellv1.Record_JobAccepted{JobAccepted: &cellv1.JobAccepted{
			Job: jobOut(r.Job), Spec: specOut(r.Spec), AtUnixMs: timeOut(r.At),
		}}
	case lifecycle.JobCancelled:
		out.Kind = &cellv1.Record_JobCancelled{JobCancelled: &cellv1.JobCancelled{
			Job: jobOut(r.Job), AtUnixMs: timeOut(r.At), MaySent: r.MaybeSent,
		}}
	case lifecycle.TaskDone:
		out.Kind = &cellv1.Record_TaskDone{TaskDone: &cellv1.TaskDone{Run: runOut(r.AttemptID), AtUnixMs: timeOut(r.At)}}
	case lifecycle.TaskFailed:
		out.Kind = &cellv1.Record_TaskFailed{TaskFailed: &cellv1.TaskFailed{
			Run: runOut(r.AttemptID), Worker: string(r.Worker), Message: r.Message, Final: r.Final, AtUnixMs: timeOut(r.At),
		}}
	case lifecycle.TaskEvicted:
		out.Kind = &cellv1.Record_TaskEvicted{TaskEvicted: &cellv1.TaskEvicted{
			Run: runOut(r.AttemptID), Checkpoint: checkpointOut(r.Checkpoint), Preempted: r.Preempted, AtUnixMs: timeOut(r.At),
		}}
	case lifecycle.CheckpointSaved:
		out.Kind = &cellv1.Record_CheckpointSaved{CheckpointSaved: &cellv1.CheckpointSaved{
			Run: runOut(r.AttemptID), Checkpoint: checkpointOut(r.Checkpoint),
		}}
	case lifecycle.CheckpointConsumed:
		out.Kind = &cellv1.Record_CheckpointConsumed{CheckpointConsumed: &cellv1.CheckpointConsumed{
			Run: runOut(r.AttemptID), Checkpoint: r.Checkpoint,
		}}
	case lifecycle.AttemptsUsed:
		out.Kind = &cellv1.Record_AttemptsUsed{AttemptsUsed: &cellv1.AttemptsUsed{Run: runOut(r.AttemptID)}}
	case lifecycle.WorkerAdded:
		out.Kind = &cellv1.Record_WorkerAdded{WorkerAdded: workerOut(r)}
	case lifecycle.WorkerRemoved:
		out.Kind = &cellv1.Record_WorkerRemoved{WorkerRemoved: &cellv1.WorkerRemoved{Worker: string(r.Worker)}}
	case lifecycle.Takeover:
		out.Kind = &cellv1.Record_Takeover{Takeover: &cellv1.Takeover{Epoch: uint64(r.Epoch), Clean: r.Clean}}
	default:
		return nil, fmt.Errorf("record type %T has no encoding", record)
	}
	return out, nil
}

func recordIn(record *cellv1.Record) (lifecycle.Record, error) {
	switch k := record.GetKind().(type) {
	case *cellv1.Record_JobAccepted:
		r := k.JobAccepted
		return lifecycle.JobAccepted{Job: jobIn(r.GetJob()), Spec: specIn(r.GetSpec()), At: timeIn(r.GetAtUnixMs())}, nil
	case *cellv1.Record_JobCancelled:
		r := k.JobCancelled
		return lifecycle.JobCancelled{Job: jobIn(r.GetJob()), At: timeIn(r.GetAtUnixMs()), MaybeSent: r.GetMaySent()}, nil
	case *cellv1.Record_TaskDone:
		return lifecycle.TaskDone{AttemptID: runIn(k.TaskDone.GetRun()), At: timeIn(k.TaskDone.GetAtUnixMs())}, nil
	case *cellv1.Record_TaskFailed:
		r := k.TaskFailed
		return lifecycle.TaskFailed{
			AttemptID: runIn(r.GetRun()), Worker: ident.WorkerID(r.GetWorker()), Message: r.GetMessage(), Final: r.GetFinal(),
			At: timeIn(r.GetAtUnixMs()),
		}, nil
	case *cellv1.Record_TaskEvicted:
		r := k.TaskEvicted
		return lifecycle.TaskEvicted{
			AttemptID: runIn(r.GetRun()), Checkpoint: checkpointIn(r.GetCheckpoint()), Preempted: r.GetPreempted(),
			At: timeIn(r.GetAtUnixMs()),
		}, nil
	case *cellv1.Record_CheckpointSaved:
		r := k.CheckpointSaved
		return lifecycle.CheckpointSaved{AttemptID: runIn(r.GetRun()), Checkpoint: checkpointIn(r.GetCheckpoint())}, nil
	case *cellv1.Record_CheckpointConsumed:
		r := k.CheckpointConsumed
		return lifecycle.CheckpointConsumed{AttemptID: runIn(r.GetRun()), Checkpoint: r.GetCheckpoint()}, nil
	case *cellv1.Record_AttemptsUsed:
		return lifecycle.AttemptsUsed{AttemptID: runIn(k.AttemptsUsed.GetRun())}, nil
	case *cellv1.Record_WorkerAdded:
		return workerIn(k.WorkerAdded), nil
	case *cellv1.Record_WorkerRemoved:
		return lifecycle.WorkerRemoved{Worker: ident.WorkerID(k.WorkerRemoved.GetWorker())}, nil
	case *cellv1.Record_Takeover:
		return lifecycle.Takeover{Epoch: ident.Epoch(k.Takeover.GetEpoch()), Clean: k.Takeover.GetClean()}, nil
	default:
		return nil, fmt.Errorf("record of unknown kind %T", k)
	}
}

// A zero time is stored as 0.
func timeOut(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func timeIn(ms int64) time.Time {
	if t := time.UnixMilli(ms); ms != 0 && !t.IsZero() {
		return t
	}
	return time.Time{}
}

func jobOut(j ident.JobID) *cellv1.JobID {
	return &cellv1.JobID{Cell: uint32(j.Cell), Epoch: uint64(j.Epoch), Seq: j.Seq}
}

func jobIn(j *cellv1.JobID) ident.JobID {
	return ident.JobID{Cell: ident.CellID(j.GetCell()), Epoch: ident.Epoch(j.GetEpoch()), Seq: j.GetSeq()}
}

func runOut(r lifecycle.AttemptID) *cellv1.Run {
	return &cellv1.Run{Job: jobOut(r.Task.Job), Index: r.Task.Index, Attempt: uint32(r.Attempt)}
}

func runIn(r *cellv1.Run) lifecycle.AttemptID {
	return lifecycle.AttemptID{
		Task:    ident.TaskID{Job: jobIn(r.GetJob()), Index: r.GetIndex()},
		Attempt: ident.Attempt(r.GetAttempt()),
	}
}

func workerOut(w lifecycle.WorkerAdded) *cellv1.WorkerAdded {
	return &cellv1.WorkerAdded{Worker: string(w.Worker), Address: w.Address}
}

func workerIn(w *cellv1.WorkerAdded) lifecycle.WorkerAdded {
	return lifecycle.WorkerAdded{Worker: ident.WorkerID(w.GetWorker()), Address: w.GetAddress()}
}

func checkpointOut(c lifecycle.Checkpoint) *cellv1.Checkpoint {
	if c.ID == "" {
		return nil
	}
	return &cellv1.Checkpoint{Id: c.ID, AtUnixMs: timeOut(c.At)}
}

// checkpointIn reads a checkpoint. One without an id is none, whatever its time.
func checkpointIn(c *cellv1.Checkpoint) lifecycle.Checkpoint {
	if c.GetId() == "" {
		return lifecycle.Checkpoint{}
	}
	return lifecycle.Checkpoint{ID: c.GetId(), At: timeIn(c.GetAtUnixMs())}
}

func specOut(s lifecycle.JobSpec) *cellv1.JobSpec {
	return &cellv1.JobSpec{
		Name: s.Name, Class: string(s.Class), Tenant: string(s.Tenant), Kind: string(s.Kind), Token: s.ClientToken,
		Number: s.ClientNumber, Pool: s.Pool, FailFast: s.FailFast,
		Stretch: s.Stretch, GraceMs: s.Grace.Milliseconds(),
		Groups: jobgroup.ToMessages(s.Groups),
	}
}

func specIn(s *cellv1.JobSpec) lifecycle.JobSpec {
	return lifecycle.JobSpec{
		Name: s.GetName(), Class: ident.ClassName(s.GetClass()), Tenant: ident.TenantName(s.GetTenant()),
		Kind: table.Kind(s.GetKind()), ClientToken: s.GetToken(),
		ClientNumber: s.GetNumber(), Pool: s.GetPool(), FailFast: s.GetFailFast(),
		Stretch: s.GetStretch(), Grace: jobgroup.DurationFromMs(s.GetGraceMs()),
		Groups: jobgroup.FromMessages(s.GetGroups()),
	}
}
