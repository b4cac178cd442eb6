package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// TestMain fixes the seed of the generated tests, so that each run returns the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1e9, 0)

var genMember = rapid.Custom(func(t *rapid.T) Member {
	m := Member{
		Instance:   ident.Instance{Host: "a", Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))},
		Version:    rapid.Uint64Range(0, 3).Draw(t, "version"),
		Refutation: rapid.Uint32Range(0, 2).Draw(t, "refutation"),
		Health:     Health(rapid.IntRange(0, 2).Draw(t, "health")),
		Departure:  Departure(rapid.IntRange(0, 2).Draw(t, "departure")),
	}
	m.Payload.PeerAddress = fmt.Sprint(m.Instance, m.Version)
	m.LoadVersion = rapid.Uint64Range(0, 3).Draw(t, "load version")
	m.Loads = []Load{{Queued: uint32(m.LoadVersion)}}
	return m
})

// Guards against views that depend on the order or the repetition of messages.
func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			a, b, c := genMember.Draw(t, "a"), genMember.Draw(t, "b"), genMember.Draw(t, "c")
			require.Equal(t, Merge(a, b), Merge(b, a))
			require.Equal(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
			require.Equal(t, a, Merge(a, a))
		}
	})
}

// Guards against a digest that drifts from the view and against views that stay different after exchanges.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		n := rapid.IntRange(2, 40).Draw(t, "members")
		now := epoch
		states := make([]*View, n)
		for i := range states {
			self := ident.Instance{Host: ident.HostID(fmt.Sprint("h", i)), Incarnation: 1}
			states[i] = New(DefaultConfig(self), Payload{PeerAddress: fmt.Sprint(i)}, now)
			if i > 0 {
				states[i].Merge(states[rng.IntN(i)].Self(), now)
			}
		}
		for range 40 {
			now = now.Add(200 * time.Millisecond)
			for _, s := range states {
				exchangeRound(s, states, rng, now)
			}
		}
		for _, s := range states {
			require.Equal(t, states[0].Digest(), s.Digest())
			require.Equal(t, states[0].Members(), s.Members())
		}
	})
}

func exchangeRound(s *View, states []*View, rng *rand.Rand, now time.Time) {
	targets := s.GossipTargets(rng)
	req := s.BeginRound()
	for _, target := range targets {
		var i int
		_, _ = fmt.Sscanf(string(target.Instance.Host), "h%d", &i)
		if next, again := s.HandleReply(states[i].HandleRequest(req, now), now); again {
			s.HandleReply(states[i].HandleRequest(next, now), now)
		}
	}
}

// Guards against messages that grow with the number of members.
func TestMessagesAreBounded(t *testing.T) {
	s := New(DefaultConfig(ident.Instance{Host: "self", Incarnation: 1}), Payload{}, epoch)
	for i := range 1000 {
		s.Merge(Member{Instance: ident.Instance{Host: ident.HostID(fmt.Sprint(i)), Incarnation: 1}, Loads: make([]Load, 3)}, epoch)
	}
	req := s.BeginRound()
	reply := s.HandleRequest(Request{}, epoch)
	for _, updates := range [][]Member{req.Updates, reply.Updates} {
		size := 0
		for _, m := range updates {
			size += m.size()
		}
		require.LessOrEqual(t, size, MaxUpdateBytes)
		require.NotEmpty(t, updates)
	}
	require.Len(t, reply.Window, maxStamps)
}

// Guards against a live member that cannot refute a suspicion, and against a dead one that is never declared dead.
func TestSuspicion(t *testing.T) {
	proved := false
	cfg := DefaultConfig(ident.Instance{Host: "a", Incarnation: 1})
	cfg.HasStopped = func(ident.Instance) bool { return proved }
	a := New(cfg, Payload{}, epoch)
	b := New(DefaultConfig(ident.Instance{Host: "b", Incarnation: 1}), Payload{}, epoch)
	a.Merge(b.Self(), epoch)
	a.ProbeFailed(b.Self().Instance, epoch)
	seen, _ := a.Get("b")
	require.Equal(t, Suspect, seen.Health)
	b.HandleRequest(a.BeginRound(), epoch)
	a.Merge(b.Self(), epoch)
	seen, _ = a.Get("b")
	require.Equal(t, Alive, seen.Health)

	a.ProbeFailed(b.Self().Instance, epoch)
	require.Empty(t, a.Tick(epoch.Add(4*time.Second)))
	require.Equal(t, []ident.Instance{b.Self().Instance}, a.Tick(epoch.Add(5*time.Second)))
	require.Empty(t, a.GossipTargets(rand.New(rand.NewPCG(1, 1))))
	back, ok := a.ReconnectTarget(rand.New(rand.NewPCG(1, 1)))
	require.True(t, ok)
	require.Equal(t, ident.HostID("b"), back.Instance.Host)
	b.HandleRequest(a.BeginRound(), epoch)
	a.Merge(b.Self(), epoch)
	seen, _ = a.Get("b")
	require.Equal(t, Alive, seen.Health, "a member declared dead by mistake comes back")
	a.ProbeFailed(b.Self().Instance, epoch)
	a.Tick(epoch.Add(time.Minute))
	a.Tick(epoch.Add(time.Hour))
	require.Equal(t, 2, a.Len(), "a member that may still run is not forgotten")
	proved = true
	a.Tick(epoch.Add(time.Hour))
	require.Equal(t, 1, a.Len())
}

// Guards against load changes that are published at a rate that grows with the number of members, that make views
// differ, or that do not reach the others.
func TestLoadsAreSpacedAndSpread(t *testing.T) {
	a := New(DefaultConfig(ident.Instance{Host: "a", Incarnation: 1}), Payload{}, epoch)
	b := New(DefaultConfig(ident.Instance{Host: "b", Incarnation: 1}), Payload{}, epoch)
	a.Merge(b.Self(), epoch)
	b.Merge(a.Self(), epoch)
	digest := a.Digest()
	for ms := 0; ms < 12000; ms += 100 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		a.SetLoads([]Load{{Queued: uint32(ms)}})
		a.Tick(now)
	}
	require.Equal(t, uint64(9), a.Self().LoadVersion, "one publication each 1.2 s")
	require.Equal(t, digest, a.Digest())
	b.HandleRequest(a.BeginRound(), epoch)
	seen, _ := b.Get("a")
	require.Equal(t, a.Self().Loads, seen.Loads)
}
