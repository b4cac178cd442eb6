// Package cellpb encodes the cell log and the snapshots of cells as protobuf messages.
package cellpb

import (
	"fmt"
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/jobgroup"
	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func encodeRecord(record lifecycle.Record) (*cellv1.Record, error) {
	out := &cellv1.Record{}
	switch r := record.(type) {
	case lifecycle.JobAccepted:
		out.Kind = &cellv1.Record_JobAccepted{JobAccepted: &cellv1.JobAccepted{
			Job: encodeJobID(r.Job), Spec: encodeSpec(r.Spec), AtUnixMs: encodeTime(r.At), Refused: r.Refused,
		}}
	case lifecycle.JobCancelled:
		out.Kind = &cellv1.Record_JobCancelled{JobCancelled: &cellv1.JobCancelled{
			Job: encodeJobID(r.Job), AtUnixMs: encodeTime(r.At), MaySent: r.MaybeSent,
		}}
	case lifecycle.TaskDone:
		out.Kind = &cellv1.Record_TaskDone{TaskDone: &cellv1.TaskDone{Run: encodeAttemptID(r.AttemptID), AtUnixMs: encodeTime(r.At)}}
	case lifecycle.TaskFailed:
		out.Kind = &cellv1.Record_TaskFailed{TaskFailed: &cellv1.TaskFailed{
			Run: encodeAttemptID(r.AttemptID), Worker: string(r.Worker), Message: r.Message, Final: r.Final, AtUnixMs: encodeTime(r.At),
		}}
	case lifecycle.TaskEvicted:
		out.Kind = &cellv1.Record_TaskEvicted{TaskEvicted: &cellv1.TaskEvicted{
			Run: encodeAttemptID(r.AttemptID), Checkpoint: encodeCheckpoint(r.Checkpoint), Preempted: r.Preempted, AtUnixMs: encodeTime(r.At),
		}}
	case lifecycle.CheckpointSaved:
		out.Kind = &cellv1.Record_CheckpointSaved{CheckpointSaved: &cellv1.CheckpointSaved{
			Run: encodeAttemptID(r.AttemptID), Checkpoint: encodeCheckpoint(r.Checkpoint),
		}}
	case lifecycle.CheckpointConsumed:
		out.Kind = &cellv1.Record_CheckpointConsumed{CheckpointConsumed: &cellv1.CheckpointConsumed{
			Run: encodeAttemptID(r.AttemptID), Checkpoint: r.Checkpoint,
		}}
	case lifecycle.AttemptsUsed:
		out.Kind = &cellv1.Record_AttemptsUsed{AttemptsUsed: &cellv1.AttemptsUsed{Run: encodeAttemptID(r.AttemptID)}}
	case lifecycle.WorkerAdded:
		out.Kind = &cellv1.Record_WorkerAdded{WorkerAdded: encodeWorker(r)}
	case lifecycle.WorkerSilent:
		out.Kind = &cellv1.Record_WorkerAdded{WorkerAdded: encodeSilence(r)}
	case lifecycle.WorkerRemoved:
		out.Kind = &cellv1.Record_WorkerRemoved{WorkerRemoved: &cellv1.WorkerRemoved{Worker: string(r.Worker)}}
	case lifecycle.Takeover:
		out.Kind = &cellv1.Record_Takeover{Takeover: &cellv1.Takeover{
			Epoch: uint64(r.Epoch), Clean: r.Clean, LongestLeaseUs: r.LongestLease.Microseconds(),
		}}
	default:
		return nil, fmt.Errorf("record type %T cannot be encoded", record)
	}
	return out, nil
}

func decodeRecord(record *cellv1.Record) (lifecycle.Record, error) {
	switch k := record.GetKind().(type) {
	case *cellv1.Record_JobAccepted:
		r := k.JobAccepted
		return lifecycle.JobAccepted{
			Job: decodeJobID(r.GetJob()), Spec: decodeSpec(r.GetSpec()), At: decodeTime(r.GetAtUnixMs()), Refused: r.GetRefused(),
		}, nil
	case *cellv1.Record_JobCancelled:
		r := k.JobCancelled
		return lifecycle.JobCancelled{Job: decodeJobID(r.GetJob()), At: decodeTime(r.GetAtUnixMs()), MaybeSent: r.GetMaySent()}, nil
	case *cellv1.Record_TaskDone:
		return lifecycle.TaskDone{AttemptID: decodeAttemptID(k.TaskDone.GetRun()), At: decodeTime(k.TaskDone.GetAtUnixMs())}, nil
	case *cellv1.Record_TaskFailed:
		r := k.TaskFailed
		return lifecycle.TaskFailed{
			AttemptID: decodeAttemptID(r.GetRun()), Worker: ident.WorkerID(r.GetWorker()), Message: r.GetMessage(), Final: r.GetFinal(),
			At: decodeTime(r.GetAtUnixMs()),
		}, nil
	case *cellv1.Record_TaskEvicted:
		r := k.TaskEvicted
		return lifecycle.TaskEvicted{
			AttemptID: decodeAttemptID(r.GetRun()), Checkpoint: decodeCheckpoint(r.GetCheckpoint()), Preempted: r.GetPreempted(),
			At: decodeTime(r.GetAtUnixMs()),
		}, nil
	case *cellv1.Record_CheckpointSaved:
		r := k.CheckpointSaved
		return lifecycle.CheckpointSaved{AttemptID: decodeAttemptID(r.GetRun()), Checkpoint: decodeCheckpoint(r.GetCheckpoint())}, nil
	case *cellv1.Record_CheckpointConsumed:
		r := k.CheckpointConsumed
		return lifecycle.CheckpointConsumed{AttemptID: decodeAttemptID(r.GetRun()), Checkpoint: r.GetCheckpoint()}, nil
	case *cellv1.Record_AttemptsUsed:
		return lifecycle.AttemptsUsed{AttemptID: decodeAttemptID(k.AttemptsUsed.GetRun())}, nil
	case *cellv1.Record_WorkerAdded:
		if k.WorkerAdded.GetSilence() != nil {
			return decodeSilence(k.WorkerAdded), nil
		}
		return decodeWorker(k.WorkerAdded), nil
	case *cellv1.Record_WorkerRemoved:
		return lifecycle.WorkerRemoved{Worker: ident.WorkerID(k.WorkerRemoved.GetWorker())}, nil
	case *cellv1.Record_Takeover:
		return lifecycle.Takeover{
			Epoch: ident.Epoch(k.Takeover.GetEpoch()), Clean: k.Takeover.GetClean(),
			LongestLease: decodeMicroseconds(k.Takeover.GetLongestLeaseUs()),
		}, nil
	default:
		return nil, fmt.Errorf("unknown record kind %T", k)
	}
}

// encodeTime returns the time in Unix milliseconds, or 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func decodeTime(ms int64) time.Time {
	if t := time.UnixMilli(ms); ms != 0 && !t.IsZero() {
		return t
	}
	return time.Time{}
}

func encodeJobID(j ident.JobID) *cellv1.JobID {
	return &cellv1.JobID{Cell: uint32(j.Cell), Epoch: uint64(j.Epoch), Seq: j.Seq}
}

func decodeJobID(j *cellv1.JobID) ident.JobID {
	return ident.JobID{Cell: ident.CellID(j.GetCell()), Epoch: ident.Epoch(j.GetEpoch()), Seq: j.GetSeq()}
}

func encodeAttemptID(r lifecycle.AttemptID) *cellv1.Run {
	return &cellv1.Run{Job: encodeJobID(r.Task.Job), Index: r.Task.Index, Attempt: uint32(r.Attempt)}
}

func decodeAttemptID(r *cellv1.Run) lifecycle.AttemptID {
	return lifecycle.AttemptID{
		Task:    ident.TaskID{Job: decodeJobID(r.GetJob()), Index: r.GetIndex()},
		Attempt: ident.Attempt(r.GetAttempt()),
	}
}

func encodeWorker(w lifecycle.WorkerAdded) *cellv1.WorkerAdded {
	return &cellv1.WorkerAdded{Worker: string(w.Worker), Address: w.Address}
}

func decodeWorker(w *cellv1.WorkerAdded) lifecycle.WorkerAdded {
	return lifecycle.WorkerAdded{Worker: ident.WorkerID(w.GetWorker()), Address: w.GetAddress()}
}

func encodeSilence(w lifecycle.WorkerSilent) *cellv1.WorkerAdded {
	return &cellv1.WorkerAdded{
		Worker: string(w.Worker), Address: w.Address,
		Silence: &cellv1.Silence{SinceUs: w.Since.Microseconds(), AtUs: w.At.Microseconds()},
	}
}

func decodeSilence(w *cellv1.WorkerAdded) lifecycle.WorkerSilent {
	return lifecycle.WorkerSilent{
		Worker: ident.WorkerID(w.GetWorker()), Address: w.GetAddress(),
		Since: decodeMicroseconds(w.GetSilence().GetSinceUs()),
		At:    decodeMicroseconds(w.GetSilence().GetAtUs()),
	}
}

func encodeCheckpoint(c lifecycle.Checkpoint) *cellv1.Checkpoint {
	if c.ID == "" {
		return nil
	}
	return &cellv1.Checkpoint{Id: c.ID, AtUnixMs: encodeTime(c.At)}
}

// decodeCheckpoint returns the zero Checkpoint for a message without an ID, whatever its time.
func decodeCheckpoint(c *cellv1.Checkpoint) lifecycle.Checkpoint {
	if c.GetId() == "" {
		return lifecycle.Checkpoint{}
	}
	return lifecycle.Checkpoint{ID: c.GetId(), At: decodeTime(c.GetAtUnixMs())}
}

func encodeSpec(s lifecycle.JobSpec) *cellv1.JobSpec {
	return &cellv1.JobSpec{
		Name: s.Name, Class: string(s.Class), Tenant: string(s.Tenant), Kind: string(s.Kind), Token: s.ClientToken,
		Number: s.ClientNumber, Pool: s.Pool, FailFast: s.FailFast,
		Stretch: s.Stretch, GraceMs: s.Grace.Milliseconds(),
		Groups:      jobgroup.ToMessages(s.Groups),
		MaxFailures: uint32(min(max(s.MaxFailures, 0), math.MaxInt32)), TableRevision: uint64(s.TableRevision), Unfit: s.Unfit,
	}
}

func decodeSpec(s *cellv1.JobSpec) lifecycle.JobSpec {
	return lifecycle.JobSpec{
		Name: s.GetName(), Class: ident.ClassName(s.GetClass()), Tenant: ident.TenantName(s.GetTenant()),
		Kind: table.Kind(s.GetKind()), ClientToken: s.GetToken(),
		ClientNumber: s.GetNumber(), Pool: s.GetPool(), FailFast: s.GetFailFast(),
		Stretch: s.GetStretch(), Grace: jobgroup.DurationFromMs(s.GetGraceMs()),
		Groups:      jobgroup.FromMessages(s.GetGroups()),
		MaxFailures: int(min(s.GetMaxFailures(), math.MaxInt32)), TableRevision: table.Revision(s.GetTableRevision()), Unfit: s.GetUnfit(),
	}
}

func decodeMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
