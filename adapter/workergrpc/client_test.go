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
	bg  = context.Background()
	run = lifecycle.AttemptID{Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 2, Seq: 3}, Index: 4}, Attempt: 5}
)

func serve(t *testing.T, s workerv1.WorkersServer) lifecycle.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := grpc.NewServer()
	workerv1.RegisterWorkersServer(g, s)
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	return lifecycle.Member{ID: "w", Address: l.Addr().String()}
}

func start(token string) lifecycle.StartTask {
	return lifecycle.StartTask{
		AttemptID: run, Token: token, Class: "c", Booked: resource.Vector{MilliCPU: 1000, MemoryMB: 10},
		RunTime: time.Hour, Command: "use=700,5",
	}
}

// Guards against a message that loses a field between owner and worker, and against a refusal without its reason.
func TestCallsRoundTrip(t *testing.T) {
	m := serve(t, worker.NewServer(worker.New(worker.Config{
		ID: "w", Capacity: resource.Vector{MilliCPU: 1500, MemoryMB: 100}, UsageLag: time.Nanosecond,
	})))
	c := New()
	defer c.Close()
	claim := c.Claim(bg, m, 1, 7)
	require.Equal(t, lifecycle.Applied, claim.Outcome)
	require.Equal(t, "1", claim.Incarnation)
	require.Equal(t, lifecycle.Answer{Outcome: lifecycle.Applied}, c.Start(bg, m, 7, start(claim.Report.Token)))

	second := start(claim.Report.Token)
	second.Task.Index++
	require.Equal(t, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonCapacity}, c.Start(bg, m, 7, second))
	require.Equal(t, lifecycle.ReasonExpired, c.Start(bg, m, 7, start("0/1")).Reason)
	require.Equal(t, lifecycle.ReasonFenced, c.Start(bg, m, 6, second).Reason)
	require.Equal(t, lifecycle.ReasonFenced, c.Claim(bg, m, 1, 6).Reason)
	require.Equal(t, lifecycle.Applied, c.Throttle(bg, m, 7, run, 0.5).Outcome)
	require.Equal(t, lifecycle.ReasonUnknownTask, c.Throttle(bg, m, 7, second.AttemptID, 0.5).Reason)

	sync := c.Sync(bg, m, 7, lifecycle.SyncRequest{Token: claim.Report.Token, Renewals: []lifecycle.AttemptID{run}}, 0)
	require.Len(t, sync.Report.Active, 1)
	active := sync.Report.Active[0]
	require.Equal(t, run, active.AttemptID)
	require.Equal(t, resource.Vector{MilliCPU: 1000, MemoryMB: 10}, active.Booked)
	require.Equal(t, resource.Vector{MilliCPU: 700, MemoryMB: 5}, active.Usage)
	require.InDelta(t, 1, active.Slowdown, 0)

	saved := c.Checkpoint(bg, m, 7, run, true)
	require.Equal(t, lifecycle.Applied, saved.Outcome)
	require.NotEmpty(t, saved.Checkpoint)
	stop := c.Stop(bg, m, 7, []lifecycle.AttemptID{run, second.AttemptID})
	require.Equal(t, lifecycle.EndEvicted, stop.Ends[0].End)
	require.Equal(t, saved.Checkpoint, stop.Ends[0].Checkpoint.ID)
	require.Equal(t, lifecycle.EndNeverStarted, stop.Ends[1].End)
	require.Equal(t, lifecycle.ReasonEnded, c.Start(bg, m, 7, second).Reason)
}

// blocked takes calls and does not answer.
type blocked struct {
	workerv1.UnimplementedWorkersServer
	arrived chan struct{}
}

func (b *blocked) Start(ctx context.Context, _ *workerv1.StartRequest) (*workerv1.StartReply, error) {
	close(b.arrived)
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a false NotRun: only a call that never left the host is proof that nothing ran.
func TestOnlyUnsentCallsAreProof(t *testing.T) {
	c := New()
	defer c.Close()

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	unsent := lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	require.Equal(t, unsent, c.Start(bg, lifecycle.Member{ID: "w", Address: address}, 7, start("1/1")))

	s := &blocked{arrived: make(chan struct{})}
	m := serve(t, s)
	ctx, cancel := context.WithCancel(bg)
	go func() {
		<-s.arrived
		cancel()
	}()
	require.Equal(t, lifecycle.Answer{}, c.Start(ctx, m, 7, start("1/1")))
}
