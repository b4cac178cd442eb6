package peergrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

var (
	background = context.Background()
	jobView    = lifecycle.JobView{
		Job: ident.JobID{Cell: 1, Epoch: 2, Seq: 3},
		Spec: lifecycle.JobSpec{
			Name: "n", Class: "c", Tenant: "t", Kind: "batch", ClientToken: "k",
			ClientNumber: 1<<63 + 5, Pool: "p", FailFast: true, Stretch: 1.5, Grace: time.Second,
			Groups: []lifecycle.TaskGroup{{
				Count: 2, Need: resource.Vector{MilliCPU: 1, MemoryMB: 2, Accelerators: 3}, RunTime: time.Second, Command: "x",
			}, {
				Count: 2, Need: resource.Vector{MilliCPU: 1}, After: []int{0}, Lasting: true, Volatile: true, TailTarget: time.Second, DisruptionBudget: 1,
				Constraints: placement.Constraints{Label: "l", Rack: "r", MaxPerWorker: 2, Serving: true, Filler: true, Image: "i"},
			}},
		},
		State: lifecycle.Cancelled, Counts: map[lifecycle.State]int{lifecycle.Done: 1, lifecycle.Cancelled: 1},
		AcceptedAt: time.UnixMilli(1000), FinishedAt: time.UnixMilli(2000), Verdict: verdict.MayHaveRun, Version: 7,
		Tasks: []lifecycle.TaskView{{
			Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 2, Seq: 3}, Index: 1}, State: lifecycle.Cancelled,
			Attempts: 2, Worker: "w", Verdict: verdict.NotRun, Evictions: 1, Failures: 1, Reason: "why",
		}},
	}
)

// fakeJobs returns one job, or err.
type fakeJobs struct {
	err     error
	spec    lifecycle.JobSpec
	version uint64
}

func (f *fakeJobs) Submit(_ context.Context, _ ident.CellID, s lifecycle.JobSpec) (ident.JobID, error) {
	f.spec = s
	return jobView.Job, f.err
}

func (f *fakeJobs) Get(context.Context, ident.JobID, int, int) (lifecycle.JobView, error) {
	return jobView, f.err
}

func (f *fakeJobs) WaitFor(_ context.Context, _ ident.JobID, _, _ int, version uint64, _ time.Duration) (lifecycle.JobView, error) {
	f.version = version
	return jobView, f.err
}

func (f *fakeJobs) List(context.Context, ident.CellID, ident.JobID, int) ([]lifecycle.JobView, error) {
	return []lifecycle.JobView{jobView}, f.err
}

func (f *fakeJobs) Cancel(context.Context, ident.JobID) error { return f.err }

func (f *fakeJobs) WaitingJobs(context.Context, ident.CellID) (map[ident.ClassName]int, error) {
	return map[ident.ClassName]int{"c": 3}, f.err
}

func serveJobs(t *testing.T, s JobService) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := grpc.NewServer()
	peerv1.RegisterJobsServer(g, NewJobsServer(s))
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	return l.Addr().String()
}

// Guards against job fields that are lost or changed between relay hosts.
func TestJobsRoundTrip(t *testing.T) {
	f := &fakeJobs{}
	address := serveJobs(t, f)
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	c := NewJobsClient(pool)
	id, err := c.Submit(background, address, 1, jobView.Spec)
	require.NoError(t, err)
	require.Equal(t, jobView.Job, id)
	require.Equal(t, jobView.Spec, f.spec)
	v, err := c.Get(background, address, id, 0, 10, 6, time.Second)
	require.NoError(t, err)
	require.Equal(t, jobView, v)
	require.EqualValues(t, 6, f.version)
	list, err := c.List(background, address, 1, id, 10)
	require.NoError(t, err)
	require.Equal(t, []lifecycle.JobView{jobView}, list)
	require.NoError(t, c.Cancel(background, address, id))
	waiting, err := c.WaitingJobs(background, address, 1)
	require.NoError(t, err)
	require.Equal(t, map[ident.ClassName]int{"c": 3}, waiting)
}

// Guards against a verdict that is lost between relay hosts, and against a wrong NotRun for a call that was sent.
func TestJobFailureVerdicts(t *testing.T) {
	f := &fakeJobs{err: verdict.New(verdict.NotRun, verdict.CodeLimited, "full").WithRetryAfter(time.Second)}
	pool := NewPool(insecure.NewCredentials())
	defer pool.Close()
	c := NewJobsClient(pool)
	_, err := c.Submit(background, serveJobs(t, f), 1, jobView.Spec)
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeLimited, e.Code)
	require.Equal(t, time.Second, e.RetryAfter)

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	require.Equal(t, verdict.NotRun, verdict.FromError(c.Cancel(background, closed.Addr().String(), jobView.Job)).Verdict)

	ctx, cancel := context.WithCancel(background)
	h := &blockingJobs{onCancel: cancel}
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(c.Cancel(ctx, serveJobs(t, h), jobView.Job)).Verdict)
}

// blockingJobs does not answer a cancellation until its context ends.
type blockingJobs struct {
	fakeJobs
	onCancel func()
}

func (h *blockingJobs) Cancel(ctx context.Context, _ ident.JobID) error {
	h.onCancel()
	<-ctx.Done()
	return ctx.Err()
}
