package evacuations

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

func newOperator(engine *kv.Engine) *Operator {
	return &Operator{
		Store: engine.Client("operator"), AllCells: 2,
		Known:     func(dc ident.DataCentre) bool { return dc == "nelson" || dc == "picton" },
		Evacuated: func() ([]lifecycle.EvacuatedCentre, int) { return nil, 1 },
	}
}

// Guards against a request that an operator makes and that does not reach the owners, or stays in force for them after it
// was withdrawn, also if the store was down meanwhile and its history is gone.
func TestRequestsOfOperatorsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := kv.New(kv.Config{})
		o := newOperator(engine)
		sets := make(chan evacuation.Set, 1024)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		follower := NewFollower(Config{
			Source: StoreSource{engine.Client("host")},
			Demand: hostlist.DemandSource{Current: func() hostlist.Demand { return hostlist.Demand{Needed: true} }},
			Known:  o.Known, Bound: 5 * time.Second, Now: time.Now,
			Changed: func(s evacuation.Set) { sets <- s },
			Ignored: func(Ignored) {},
			Log:     discardLog(),
		})
		go func() {
			defer close(ended)
			follower.Run(ctx)
		}()
		newest := func() evacuation.Set {
			time.Sleep(5 * time.Second)
			var s evacuation.Set
			for len(sets) > 0 {
				s = <-sets
			}
			return s
		}
		require.True(t, newest().Current())
		r, err := o.Start(ctx, "nelson", "maintenance")
		require.NoError(t, err)
		s := newest()
		found, ok := s.Find("nelson")
		require.True(t, ok)
		require.Equal(t, "maintenance", found.Reason)
		require.Equal(t, r.Revision, found.Revision)
		engine.SetFault(kv.Fault{Down: true})
		down := newest()
		require.True(t, down.Current(), "the last set stays in force")
		require.True(t, down.Contains("nelson"))
		engine.SetFault(kv.Fault{})
		require.NoError(t, o.Stop(ctx, "nelson"))
		require.False(t, newest().Contains("nelson"))
		cancel()
		<-ended
	})
}

// Guards against a bad request that is accepted, against one that is refused without naming the field at fault, and against
// a repeat that changes anything.
func TestOperatorRequests(t *testing.T) {
	ctx := context.Background()
	o := newOperator(kv.New(kv.Config{}))
	for _, tc := range []struct{ dc, reason, names string }{
		{"nowhere", "maintenance", "data centre"},
		{"", "maintenance", "data centre"},
		{"nelson", "", "reason"},
		{"nelson", "two\nlines", "reason"},
		{"nelson", string(make([]byte, maxReasonBytes+1)), "reason"},
	} {
		_, err := o.Start(ctx, ident.DataCentre(tc.dc), tc.reason)
		require.ErrorContains(t, err, tc.names)
		require.Equal(t, verdict.CodeInvalid, verdict.FromError(err).Code)
	}
	first, err := o.Start(ctx, "nelson", "maintenance")
	require.NoError(t, err)
	again, err := o.Start(ctx, "nelson", "another reason")
	require.NoError(t, err)
	require.Equal(t, first, again)
	v, err := o.List(ctx)
	require.NoError(t, err)
	require.Equal(t, []evacuation.Request{first}, v.Requests)
	require.NoError(t, o.Stop(ctx, "nelson"))
	require.Equal(t, verdict.CodeNotFound, verdict.FromError(o.Stop(ctx, "nelson")).Code)
	require.Equal(t, verdict.CodeInvalid, verdict.FromError(o.Stop(ctx, "a/b")).Code)
}

// Guards against an operator who is told that nothing happened while the request may be in force.
func TestLostAnswerToARequest(t *testing.T) {
	engine := kv.New(kv.Config{})
	o := newOperator(engine)
	engine.SetFault(kv.Fault{LoseBefore: -1})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := o.Start(ctx, "nelson", "maintenance")
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
}
