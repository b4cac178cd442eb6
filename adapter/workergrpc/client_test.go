package workergrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

var (
	background  = context.Background()
	testAttempt = lifecycle.AttemptID{Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 2, Seq: 3}, Index: 4}, Attempt: 5}
)

func serveWorker(t *testing.T, s workerv1.WorkersServer) lifecycle.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := grpc.NewServer()
	workerv1.RegisterWorkersServer(g, s)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	return lifecycle.Member{ID: "w", Address: l.Addr().String()}
}

func newStartTask(token string) lifecycle.StartTask {
	return lifecycle.StartTask{
		AttemptID: testAttempt, Token: token, Class: "c", Booked: resource.Vector{MilliCPU: 1000, MemoryMB: 10},
		RunTime: time.Hour, Command: "use=700,5",
	}
}

// Guards against fields that are lost between owner and worker, and against refusals without their reason.
func TestCallsRoundTrip(t *testing.T) {
	member := serveWorker(t, worker.NewServer(worker.New(worker.Config{
		ID: "w", Capacity: resource.Vector{MilliCPU: 1500, MemoryMB: 100}, UsageLag: time.Nanosecond,
	})))
	c := New()
	defer c.Close()
	claim := c.Claim(background, member, 1, 7)
	require.Equal(t, lifecycle.Applied, claim.Outcome)
	require.Equal(t, "1", claim.Incarnation)
	require.Equal(t, lifecycle.Answer{Outcome: lifecycle.Applied}, c.Start(background, member, 7, newStartTask(claim.Report.Token)))

	second := newStartTask(claim.Report.Token)
	second.Task.Index++
	require.Equal(t, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonCapacity}, c.Start(background, member, 7, second))
	require.Equal(t, lifecycle.ReasonExpired, c.Start(background, member, 7, newStartTask("0/1")).Reason)
	require.Equal(t, lifecycle.ReasonFenced, c.Start(background, member, 6, second).Reason)
	require.Equal(t, lifecycle.ReasonFenced, c.Claim(background, member, 1, 6).Reason)
	require.Equal(t, lifecycle.Applied, c.Throttle(background, member, 7, testAttempt, 0.5).Outcome)
	require.Equal(t, lifecycle.ReasonUnknownTask, c.Throttle(background, member, 7, second.AttemptID, 0.5).Reason)

	sync := c.Sync(background, member, 7, lifecycle.SyncRequest{Token: claim.Report.Token, Renewals: []lifecycle.AttemptID{testAttempt}}, 0)
	require.Len(t, sync.Report.Active, 1)
	active := sync.Report.Active[0]
	require.Equal(t, testAttempt, active.AttemptID)
	require.Equal(t, resource.Vector{MilliCPU: 1000, MemoryMB: 10}, active.Booked)
	require.Equal(t, resource.Vector{MilliCPU: 700, MemoryMB: 5}, active.Usage)
	require.InDelta(t, 1, active.Slowdown, 0)

	saved := c.Checkpoint(background, member, 7, testAttempt, true)
	require.Equal(t, lifecycle.Applied, saved.Outcome)
	require.NotEmpty(t, saved.Checkpoint)
	stop := c.Stop(background, member, 7, []lifecycle.AttemptID{testAttempt, second.AttemptID})
	require.Equal(t, lifecycle.EndEvicted, stop.Ends[0].End)
	require.Equal(t, saved.Checkpoint, stop.Ends[0].Checkpoint.ID)
	require.Equal(t, lifecycle.EndNeverStarted, stop.Ends[1].End)
	require.Equal(t, lifecycle.ReasonEnded, c.Start(background, member, 7, second).Reason)
}

// blockingWorker does not answer a start until its context ends.
type blockingWorker struct {
	workerv1.UnimplementedWorkersServer
	arrived chan struct{}
}

func (b *blockingWorker) Start(ctx context.Context, _ *workerv1.StartRequest) (*workerv1.StartReply, error) {
	close(b.arrived)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against ReasonUnsent for a call that left the host, which would be a wrong proof that nothing ran.
func TestOnlyUnsentCallIsReportedAsUnsent(t *testing.T) {
	c := New()
	defer c.Close()

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	unsent := lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	require.Equal(t, unsent, c.Start(background, lifecycle.Member{ID: "w", Address: address}, 7, newStartTask("1/1")))

	s := &blockingWorker{arrived: make(chan struct{})}
	member := serveWorker(t, s)
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-s.arrived
		cancel()
	}()
	require.Equal(t, lifecycle.Answer{}, c.Start(ctx, member, 7, newStartTask("1/1")))
}
