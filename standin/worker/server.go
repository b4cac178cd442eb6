package worker

import (
	"context"
	"time"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// maxSyncWait bounds how long a Sync call waits for an end to report.
const maxSyncWait = 30 * time.Second

// Server serves a worker over the worker protocol.
type Server struct {
	workerv1.UnimplementedWorkersServer
	worker *Worker
}

// NewServer returns a server for w.
func NewServer(w *Worker) *Server {
	return &Server{worker: w}
}

// Claim implements the worker protocol.
func (s *Server) Claim(_ context.Context, r *workerv1.ClaimRequest) (*workerv1.ClaimReply, error) {
	a, report, incarnation := s.worker.Claim(ident.CellID(r.GetCell()), ident.Epoch(r.GetEpoch()))
	return &workerv1.ClaimReply{Refusal: encodeRefusal(a), Report: encodeReport(report, incarnation)}, nil
}

// Sync implements the worker protocol.
func (s *Server) Sync(ctx context.Context, r *workerv1.SyncRequest) (*workerv1.SyncReply, error) {
	req := lifecycle.SyncRequest{Token: r.GetToken(), Renewals: decodeAttemptIDs(r.GetRenewals()), Acks: decodeAttemptIDs(r.GetAcks())}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxSyncWait)
	a, report, incarnation := s.worker.Sync(ctx, ident.Epoch(r.GetEpoch()), req, wait)
	return &workerv1.SyncReply{Refusal: encodeRefusal(a), Report: encodeReport(report, incarnation)}, nil
}

// Start implements the worker protocol.
func (s *Server) Start(_ context.Context, r *workerv1.StartRequest) (*workerv1.StartReply, error) {
	attempt, ok := decodeAttemptID(r.GetRun())
	if !ok {
		return &workerv1.StartReply{Refusal: workerv1.Refusal_REFUSAL_UNKNOWN_TASK}, nil
	}
	a := s.worker.Start(ident.Epoch(r.GetEpoch()), lifecycle.StartTask{
		AttemptID: attempt, Token: r.GetToken(), Class: ident.ClassName(r.GetClass()), Booked: decodeVector(r.GetBooked()),
		RunTime: time.Duration(r.GetRunTimeMs()) * time.Millisecond, Command: r.GetCommand(), Checkpoint: r.GetCheckpoint(),
	})
	return &workerv1.StartReply{Refusal: encodeRefusal(a)}, nil
}

// Stop implements the worker protocol.
func (s *Server) Stop(_ context.Context, r *workerv1.StopRequest) (*workerv1.StopReply, error) {
	a, ends, incarnation := s.worker.Stop(ident.Epoch(r.GetEpoch()), decodeAttemptIDs(r.GetRuns()))
	return &workerv1.StopReply{Refusal: encodeRefusal(a), Ends: encodeEnds(ends), Incarnation: incarnation}, nil
}

// Checkpoint implements the worker protocol.
func (s *Server) Checkpoint(_ context.Context, r *workerv1.CheckpointRequest) (*workerv1.CheckpointReply, error) {
	attempt, ok := decodeAttemptID(r.GetRun())
	if !ok {
		return &workerv1.CheckpointReply{Refusal: workerv1.Refusal_REFUSAL_UNKNOWN_TASK}, nil
	}
	a, id := s.worker.Checkpoint(ident.Epoch(r.GetEpoch()), attempt, r.GetStop())
	return &workerv1.CheckpointReply{Refusal: encodeRefusal(a), Checkpoint: id}, nil
}

// Throttle implements the worker protocol.
func (s *Server) Throttle(_ context.Context, r *workerv1.ThrottleRequest) (*workerv1.ThrottleReply, error) {
	attempt, ok := decodeAttemptID(r.GetRun())
	if !ok {
		return &workerv1.ThrottleReply{Refusal: workerv1.Refusal_REFUSAL_UNKNOWN_TASK}, nil
	}
	a := s.worker.Throttle(ident.Epoch(r.GetEpoch()), attempt, r.GetFraction())
	return &workerv1.ThrottleReply{Refusal: encodeRefusal(a)}, nil
}

func encodeRefusal(a lifecycle.Answer) workerv1.Refusal {
	if a.Outcome == lifecycle.Applied {
		return workerv1.Refusal_REFUSAL_UNSPECIFIED
	}
	switch a.Reason {
	case lifecycle.ReasonFenced:
		return workerv1.Refusal_REFUSAL_FENCED
	case lifecycle.ReasonCapacity:
		return workerv1.Refusal_REFUSAL_CAPACITY
	case lifecycle.ReasonExpired:
		return workerv1.Refusal_REFUSAL_EXPIRED
	case lifecycle.ReasonEnded:
		return workerv1.Refusal_REFUSAL_ENDED
	case lifecycle.ReasonLeaving:
		return workerv1.Refusal_REFUSAL_LEAVING
	case lifecycle.ReasonUnclaimed:
		return workerv1.Refusal_REFUSAL_UNCLAIMED
	default:
		return workerv1.Refusal_REFUSAL_UNKNOWN_TASK
	}
}

func decodeAttemptID(r *workerv1.Run) (lifecycle.AttemptID, bool) {
	id, err := ident.ParseTaskID(r.GetTask())
	return lifecycle.AttemptID{Task: id, Attempt: ident.Attempt(r.GetAttempt())}, err == nil
}

// decodeAttemptIDs drops malformed ids, which cannot match an attempt on this worker.
func decodeAttemptIDs(messages []*workerv1.Run) []lifecycle.AttemptID {
	var out []lifecycle.AttemptID
	for _, r := range messages {
		if id, ok := decodeAttemptID(r); ok {
			out = append(out, id)
		}
	}
	return out
}

func encodeAttemptID(r lifecycle.AttemptID) *workerv1.Run {
	return &workerv1.Run{Task: r.Task.String(), Attempt: uint32(r.Attempt)}
}

func decodeVector(v *workerv1.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.GetMilliCpu(), MemoryMB: v.GetMemoryMb(), Accelerators: v.GetAccelerators()}
}

func encodeVector(v resource.Vector) *workerv1.Vector {
	if v.IsZero() {
		return nil
	}
	return &workerv1.Vector{MilliCpu: v.MilliCPU, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

func encodeReport(r lifecycle.Report, incarnation string) *workerv1.Report {
	out := &workerv1.Report{
		Capacity: encodeVector(r.Capacity), Token: r.Token, Incarnation: incarnation, Ended: encodeEnds(r.Ended),
	}
	for _, a := range r.Active {
		out.Active = append(out.Active, &workerv1.Active{
			Run: encodeAttemptID(a.AttemptID), Booked: encodeVector(a.Booked), Usage: encodeVector(a.Usage), Slowdown: a.Slowdown,
			AgeMs: a.MeasurementAge.Milliseconds(), Checkpoint: a.Checkpoint.ID,
		})
	}
	return out
}

func encodeEnds(ends []lifecycle.EndedAttempt) []*workerv1.Ended {
	var out []*workerv1.Ended
	for _, e := range ends {
		out = append(out, &workerv1.Ended{
			Run: encodeAttemptID(e.AttemptID), End: workerv1.End(e.End), Checkpoint: e.Checkpoint.ID, Message: e.Message,
		})
	}
	return out
}
