package peergrpc

import (
	"context"
	"net"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// panickingJobs panics on a submission.
type panickingJobs struct{ fakeJobs }

func (*panickingJobs) Submit(context.Context, ident.CellID, lifecycle.JobSpec) (ident.JobID, error) {
	panic("odd message")
}

// Guards against a call of another host that ends the process by an unexpected error, or whose caller is told that it has
// not run.
func TestPanicInHandlerEndsOnlyTheCall(t *testing.T) {
	log, hook := test.NewNullLogger()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(append(ServerOptions(insecure.NewCredentials()), ContainPanics(log)...)...)
	peerv1.RegisterJobsServer(server, NewJobsServer(&panickingJobs{}))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	pool := NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	c := NewJobsClient(pool)
	address := listener.Addr().String()
	_, err = c.Submit(background, address, 1, jobView.Spec)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.Len(t, hook.AllEntries(), 1)
	_, err = c.Get(background, address, jobView.Job, 0, 1, 0, 0)
	require.NoError(t, err)
}
