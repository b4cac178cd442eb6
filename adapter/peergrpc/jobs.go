package peergrpc

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/grpcsent"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// JobService performs the calls about jobs that peers make, on the cells of this host.
type JobService interface {
	Submit(ctx context.Context, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error)
	Get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error)
	WaitFor(ctx context.Context, id ident.JobID, from, tasks int, version uint64, limit time.Duration) (lifecycle.JobView, error)
	List(ctx context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error)
	Cancel(ctx context.Context, id ident.JobID) error
	WaitingJobs(ctx context.Context, cell ident.CellID) (map[ident.ClassName]int, error)
}

// maxJobWait bounds how long a Get call of a peer waits for a newer version of the job.
const maxJobWait = 30 * time.Second

// JobsServer implements the Jobs service for peers.
type JobsServer struct {
	peerv1.UnimplementedJobsServer
	service JobService
}

// NewJobsServer returns a server that passes calls to s.
func NewJobsServer(s JobService) *JobsServer {
	return &JobsServer{service: s}
}

// Submit implements peerv1.JobsServer.
func (s *JobsServer) Submit(ctx context.Context, r *peerv1.SubmitJobRequest) (*peerv1.SubmitJobReply, error) {
	id, err := s.service.Submit(ctx, ident.CellID(r.GetCell()), jobSpecFromMessage(r.GetSpec()))
	if err != nil {
		return &peerv1.SubmitJobReply{Failure: jobFailureToMessage(err)}, nil
	}
	return &peerv1.SubmitJobReply{Job: id.String()}, nil
}

// Get implements peerv1.JobsServer.
func (s *JobsServer) Get(ctx context.Context, r *peerv1.GetJobRequest) (*peerv1.GetJobReply, error) {
	id, err := parseJobID(r.GetJob())
	if err != nil {
		return &peerv1.GetJobReply{Failure: jobFailureToMessage(err)}, nil
	}
	var v lifecycle.JobView
	if r.GetWaitMs() > 0 {
		limit := min(durationFromMs(r.GetWaitMs()), maxJobWait)
		v, err = s.service.WaitFor(ctx, id, int(r.GetFrom()), int(r.GetLimit()), r.GetAfterVersion(), limit)
	} else {
		v, err = s.service.Get(ctx, id, int(r.GetFrom()), int(r.GetLimit()))
	}
	if err != nil {
		return &peerv1.GetJobReply{Failure: jobFailureToMessage(err)}, nil
	}
	return &peerv1.GetJobReply{Job: jobViewToMessage(v)}, nil
}

// List implements peerv1.JobsServer.
func (s *JobsServer) List(ctx context.Context, r *peerv1.ListJobsRequest) (*peerv1.ListJobsReply, error) {
	var after ident.JobID
	if r.GetAfter() != "" {
		var err error
		if after, err = parseJobID(r.GetAfter()); err != nil {
			return &peerv1.ListJobsReply{Failure: jobFailureToMessage(err)}, nil
		}
	}
	views, err := s.service.List(ctx, ident.CellID(r.GetCell()), after, int(r.GetLimit()))
	if err != nil {
		return &peerv1.ListJobsReply{Failure: jobFailureToMessage(err)}, nil
	}
	reply := &peerv1.ListJobsReply{}
	for _, v := range views {
		reply.Jobs = append(reply.Jobs, jobViewToMessage(v))
	}
	return reply, nil
}

// Cancel implements peerv1.JobsServer.
func (s *JobsServer) Cancel(ctx context.Context, r *peerv1.CancelJobRequest) (*peerv1.CancelJobReply, error) {
	id, err := parseJobID(r.GetJob())
	if err == nil {
		err = s.service.Cancel(ctx, id)
	}
	if err != nil {
		return &peerv1.CancelJobReply{Failure: jobFailureToMessage(err)}, nil
	}
	return &peerv1.CancelJobReply{}, nil
}

// Waiting implements peerv1.JobsServer.
func (s *JobsServer) Waiting(ctx context.Context, r *peerv1.WaitingJobsRequest) (*peerv1.WaitingJobsReply, error) {
	waiting, err := s.service.WaitingJobs(ctx, ident.CellID(r.GetCell()))
	if err != nil {
		return &peerv1.WaitingJobsReply{Failure: jobFailureToMessage(err)}, nil
	}
	reply := &peerv1.WaitingJobsReply{Counts: make(map[string]uint32, len(waiting))}
	for class, n := range waiting {
		reply.Counts[string(class)] = uint32(max(n, 0))
	}
	return reply, nil
}

func parseJobID(s string) (ident.JobID, error) {
	id, err := ident.ParseJobID(s)
	if err != nil {
		return id, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "job id")
	}
	return id, nil
}

// JobsClient calls the Jobs service of other relay hosts. It implements jobs.Peer.
type JobsClient struct {
	conns Conns
}

var _ jobs.Peer = (*JobsClient)(nil)

// NewJobsClient returns a client over the given connections.
func NewJobsClient(c Conns) *JobsClient {
	return &JobsClient{conns: c}
}

// callJobs performs one call and returns a transport error or a failure in the reply as an error with a verdict.
func callJobs[R interface{ GetFailure() *peerv1.Failure }](
	ctx context.Context, c *JobsClient, address string, call func(context.Context, peerv1.JobsClient) (R, error),
) (R, error) {
	var zero R
	conn, err := c.conns.Conn(address)
	if err != nil {
		return zero, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to %s", address)
	}
	ctx, flag := grpcsent.Track(ctx)
	reply, err := call(ctx, peerv1.NewJobsClient(conn))
	switch {
	case err != nil && (!flag.Sent() || isRefusal(err)):
		return zero, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "call to %s", address)
	case err != nil:
		return zero, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "call to %s", address)
	case reply.GetFailure() != nil:
		return zero, jobFailureFromMessage(reply.GetFailure())
	default:
		return reply, nil
	}
}

// Submit implements jobs.Peer.
func (c *JobsClient) Submit(ctx context.Context, address string, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error) {
	reply, err := callJobs(ctx, c, address, func(ctx context.Context, j peerv1.JobsClient) (*peerv1.SubmitJobReply, error) {
		return j.Submit(ctx, &peerv1.SubmitJobRequest{Cell: uint32(cell), Spec: jobSpecToMessage(spec)})
	})
	if err != nil {
		return ident.JobID{}, err
	}
	id, err := ident.ParseJobID(reply.GetJob())
	if err != nil {
		return id, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "job id in the reply of %s", address)
	}
	return id, nil
}

// Get implements jobs.Peer.
func (c *JobsClient) Get(ctx context.Context, address string, id ident.JobID, from, limit int, version uint64, wait time.Duration) (lifecycle.JobView, error) {
	req := &peerv1.GetJobRequest{
		Job: id.String(), From: uint32(max(from, 0)), Limit: uint32(max(limit, 0)), AfterVersion: version,
		WaitMs: wait.Milliseconds(),
	}
	reply, err := callJobs(ctx, c, address, func(ctx context.Context, j peerv1.JobsClient) (*peerv1.GetJobReply, error) {
		return j.Get(ctx, req)
	})
	if err != nil {
		return lifecycle.JobView{}, err
	}
	return jobViewFromMessage(reply.GetJob())
}

// List implements jobs.Peer.
func (c *JobsClient) List(ctx context.Context, address string, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	req := &peerv1.ListJobsRequest{Cell: uint32(cell), Limit: uint32(max(limit, 0))}
	if after != (ident.JobID{}) {
		req.After = after.String()
	}
	reply, err := callJobs(ctx, c, address, func(ctx context.Context, j peerv1.JobsClient) (*peerv1.ListJobsReply, error) {
		return j.List(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	var views []lifecycle.JobView
	for _, v := range reply.GetJobs() {
		view, err := jobViewFromMessage(v)
		if err != nil {
			return nil, err
		}
		views = append(views, view)
	}
	return views, nil
}

// Cancel implements jobs.Peer.
func (c *JobsClient) Cancel(ctx context.Context, address string, id ident.JobID) error {
	_, err := callJobs(ctx, c, address, func(ctx context.Context, j peerv1.JobsClient) (*peerv1.CancelJobReply, error) {
		return j.Cancel(ctx, &peerv1.CancelJobRequest{Job: id.String()})
	})
	return err
}

// WaitingJobs implements jobs.Peer.
func (c *JobsClient) WaitingJobs(ctx context.Context, address string, cell ident.CellID) (map[ident.ClassName]int, error) {
	reply, err := callJobs(ctx, c, address, func(ctx context.Context, j peerv1.JobsClient) (*peerv1.WaitingJobsReply, error) {
		return j.Waiting(ctx, &peerv1.WaitingJobsRequest{Cell: uint32(cell)})
	})
	if err != nil {
		return nil, err
	}
	waiting := make(map[ident.ClassName]int, len(reply.GetCounts()))
	for class, n := range reply.GetCounts() {
		waiting[ident.ClassName(class)] = int(n)
	}
	return waiting, nil
}
