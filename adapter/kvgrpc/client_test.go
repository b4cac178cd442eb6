package kvgrpc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

var background = context.Background()

// serve starts a server for a session of the in-memory store on loopback.
func serve(t *testing.T, s *kv.Session) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	kv.Register(server, s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	stop = sync.OnceFunc(func() {
		server.Stop()
		<-done
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func connect(t *testing.T, c Config) *Client {
	t.Helper()
	client, err := New(c)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return client
}

// Guards against fields that are lost in the protocol, and against leases, compares and watches that behave
// differently over the protocol than in the in-memory store.
func TestRoundTrip(t *testing.T) {
	engine := kv.New(kv.Config{})
	address, _ := serve(t, engine.Client("a"))
	c := connect(t, Config{Endpoints: []string{address}})
	lease, err := c.Grant(background, 9*time.Second)
	require.NoError(t, err)
	r, err := c.Txn(background, []store.Compare{store.KeyAbsent("/own/1")}, []store.Op{{Key: "/own/1", Value: []byte("x"), Lease: lease}})
	require.NoError(t, err)
	require.Equal(t, store.Applied, r.Outcome)
	entry, ok, err := c.Get(background, "/own/1")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, store.Entry{Key: "/own/1", Value: []byte("x"), CreateRevision: r.Revision, ModRevision: r.Revision, Lease: lease}, entry)
	ctx, cancel := context.WithCancel(background)
	defer cancel()
	batches := c.Watch(ctx, "/own/", r.Revision)
	second, err := c.Txn(background, []store.Compare{store.KeyAbsent("/own/1")}, []store.Op{{Key: "/own/1"}})
	require.NoError(t, err)
	require.Equal(t, store.NotApplied, second.Outcome)
	ok, err = c.KeepAlive(background, lease)
	require.NoError(t, err)
	require.True(t, ok)
	require.NoError(t, c.Revoke(background, lease))
	batch := <-batches
	require.NoError(t, batch.Err)
	require.True(t, batch.Events[0].Deleted)
	require.Greater(t, batch.Revision, r.Revision)
	ok, err = c.KeepAlive(background, lease)
	require.NoError(t, err)
	require.False(t, ok)
	require.ErrorIs(t, c.Revoke(background, lease), store.ErrLeaseNotFound)
	all, err := c.Range(background, "")
	require.NoError(t, err)
	require.Empty(t, all.Entries)
	engine.Compact()
	require.ErrorIs(t, (<-c.Watch(ctx, "/", 1)).Err, store.ErrCompacted)
}

// Guards against a definite outcome for a call whose reply was lost, and against an unknown outcome for a call that
// was never sent.
func TestOutcomesOfFailedCalls(t *testing.T) {
	engine := kv.New(kv.Config{})
	s := engine.Client("a")
	address, stop := serve(t, s)
	c := connect(t, Config{Endpoints: []string{address}, Timeout: 500 * time.Millisecond})
	s.SetFault(kv.Fault{LoseAfter: 1})
	r, err := c.Txn(background, nil, []store.Op{{Key: "/a"}})
	require.Error(t, err)
	require.Equal(t, store.Unknown, r.Outcome)
	s.SetFault(kv.Fault{Hang: true})
	r, err = c.Txn(background, nil, []store.Op{{Key: "/a"}})
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, store.Unknown, r.Outcome)
	s.SetFault(kv.Fault{})
	stop()
	require.Eventually(t, func() bool {
		r, err = c.Txn(background, nil, []store.Op{{Key: "/a"}})
		return r.Outcome == store.NotApplied && err != nil
	}, 5*time.Second, time.Millisecond, "a refused connection proves that nothing was sent")
	r, err = c.Txn(background, nil, []store.Op{{Key: "/a", Value: make([]byte, store.MaxValueBytes+1)}})
	require.ErrorIs(t, err, store.ErrTooLarge)
	require.Equal(t, store.NotApplied, r.Outcome)
}

// Guards against a client that keeps using an unreachable endpoint, and against calls above the rate limit.
func TestEndpointsAndBudget(t *testing.T) {
	engine := kv.New(kv.Config{})
	first, stop := serve(t, engine.Client("a"))
	second, _ := serve(t, engine.Client("b"))
	c := connect(t, Config{Endpoints: []string{first, second}})
	_, err := c.Range(background, "/")
	require.NoError(t, err)
	stop()
	require.Eventually(t, func() bool {
		_, err := c.Range(background, "/")
		return err == nil
	}, 5*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, c.Counts().EndpointSwitches, int64(1))

	limited := connect(t, Config{Endpoints: []string{second}, CallsPerSecond: 0.1, Burst: 2, Timeout: time.Second})
	for range 2 {
		_, err = limited.Range(background, "/")
		require.NoError(t, err)
	}
	r, err := limited.Txn(background, nil, []store.Op{{Key: "/a"}})
	require.ErrorIs(t, err, store.ErrRateLimited)
	require.Equal(t, store.NotApplied, r.Outcome)
	require.Equal(t, Counts{Calls: 2, OverBudget: 1}, limited.Counts())
}

type registerInput struct {
	write bool
	// value is written if the register still holds the expected value, which is "" for an absent key.
	value, expected string
}

type registerOutput struct {
	outcome store.Outcome
	value   string
}

// register models a compare-and-swap register. A write with an unknown outcome may take effect at any time until the
// end of the history, or not at all.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any {
		i, o := in.(registerInput), out.(registerOutput)
		if !i.write {
			if o.value != state {
				return nil
			}
			return []any{state}
		}
		switch o.outcome {
		case store.Applied:
			if state == i.expected {
				return []any{i.value}
			}
			return nil
		case store.NotApplied:
			// The test has no rate limits, so the compare must have failed.
			if state == i.expected {
				return nil
			}
			return []any{state}
		default:
			if state == i.expected {
				return []any{state, i.value}
			}
			return []any{state}
		}
	},
}

// Guards against a wrong definite outcome, a compare-and-swap that is applied twice, and a stale read, over gRPC with
// calls that are lost before or after they take effect.
func TestHistoryIsLinearizable(t *testing.T) {
	engine := kv.New(kv.Config{WritesPerSecond: -1, ReadsPerSecond: -1})
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		wg      sync.WaitGroup
		start   = time.Now()
	)
	for id := range 4 {
		s := engine.Client(fmt.Sprint(id))
		address, _ := serve(t, s)
		c := connect(t, Config{Endpoints: []string{address}})
		rng := rand.New(rand.NewPCG(1, uint64(id)))
		wg.Go(func() {
			var last store.Entry
			for n := range 60 {
				if rng.IntN(4) == 0 {
					s.SetFault(kv.Fault{LoseBefore: rng.IntN(2), LoseAfter: rng.IntN(2)})
				}
				op := porcupine.Operation{ClientId: id, Call: int64(time.Since(start))}
				if n%2 == 0 {
					entry, _, err := c.Get(background, "/r")
					if err != nil {
						continue
					}
					last = entry
					op.Input, op.Output = registerInput{}, registerOutput{value: string(entry.Value)}
				} else {
					in := registerInput{write: true, value: fmt.Sprint(id, ".", n), expected: string(last.Value)}
					cmp := store.Compare{Key: "/r", Field: store.FieldModRevision, Revision: last.ModRevision}
					r, _ := c.Txn(background, []store.Compare{cmp}, []store.Op{{Key: "/r", Value: []byte(in.value)}})
					op.Input, op.Output = in, registerOutput{outcome: r.Outcome}
				}
				op.Return = int64(time.Since(start))
				if o := op.Output.(registerOutput); op.Input.(registerInput).write && o.outcome == store.Unknown {
					op.Return = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	unknown := 0
	for _, op := range history {
		if op.Input.(registerInput).write && op.Output.(registerOutput).outcome == store.Unknown {
			unknown++
		}
	}
	require.Positive(t, unknown, "no injected fault caused an unknown outcome")
	model := register.ToModel()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, time.Minute))
}
