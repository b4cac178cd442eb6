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

// TestMain fixes the seed of the generated tests, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var testStart = time.Unix(1e9, 0)

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

// Guards against a digest that does not match its view, and against views that stay different after exchanges.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		n := rapid.IntRange(2, 40).Draw(t, "members")
		now := testStart
		views := make([]*View, n)
		for i := range views {
			self := ident.Instance{Host: ident.HostID(fmt.Sprint("h", i)), Incarnation: 1}
			views[i] = New(DefaultConfig(self), Payload{PeerAddress: fmt.Sprint(i)}, now)
			if i > 0 {
				views[i].Merge(views[rng.IntN(i)].Self(), now)
			}
		}
		for range 40 {
			now = now.Add(200 * time.Millisecond)
			for _, v := range views {
				exchangeRound(v, views, rng, now)
			}
		}
		for _, v := range views {
			require.Equal(t, views[0].Digest(), v.Digest())
			require.Equal(t, views[0].Members(), v.Members())
		}
	})
}

func exchangeRound(v *View, views []*View, rng *rand.Rand, now time.Time) {
	targets := v.GossipTargets(rng)
	req := v.BeginRound()
	for _, target := range targets {
		var i int
		_, _ = fmt.Sscanf(string(target.Instance.Host), "h%d", &i)
		if next, followUp := v.HandleReply(views[i].HandleRequest(req, now), now); followUp {
			v.HandleReply(views[i].HandleRequest(next, now), now)
		}
	}
}

// Guards against messages that grow with the number of members.
func TestMessagesAreBounded(t *testing.T) {
	v := New(DefaultConfig(ident.Instance{Host: "self", Incarnation: 1}), Payload{}, testStart)
	for i := range 1000 {
		v.Merge(Member{Instance: ident.Instance{Host: ident.HostID(fmt.Sprint(i)), Incarnation: 1}, Loads: make([]Load, 3)}, testStart)
	}
	req := v.BeginRound()
	reply := v.HandleRequest(Request{}, testStart)
	for _, updates := range [][]Member{req.Updates, reply.Updates} {
		size := 0
		for _, m := range updates {
			size += m.size()
		}
		require.LessOrEqual(t, size, MaxUpdateBytes)
		require.NotEmpty(t, updates)
	}
	require.Len(t, reply.Window, maxStampsPerMessage)
}

// Guards against a live member that cannot refute a suspicion, against a failed member that is never declared dead, and
// against a dead member that may still run being forgotten.
func TestSuspicionAndRefutation(t *testing.T) {
	stopped := false
	cfg := DefaultConfig(ident.Instance{Host: "a", Incarnation: 1})
	cfg.HasStopped = func(ident.Instance) bool { return stopped }
	a := New(cfg, Payload{}, testStart)
	b := New(DefaultConfig(ident.Instance{Host: "b", Incarnation: 1}), Payload{}, testStart)
	a.Merge(b.Self(), testStart)
	a.ProbeFailed(b.Self().Instance, testStart)
	seen, _ := a.Get("b")
	require.Equal(t, Suspect, seen.Health)
	b.HandleRequest(a.BeginRound(), testStart)
	a.Merge(b.Self(), testStart)
	seen, _ = a.Get("b")
	require.Equal(t, Alive, seen.Health)

	a.ProbeFailed(b.Self().Instance, testStart)
	require.Empty(t, a.Tick(testStart.Add(4*time.Second)))
	require.Equal(t, []ident.Instance{b.Self().Instance}, a.Tick(testStart.Add(5*time.Second)))
	require.Empty(t, a.GossipTargets(rand.New(rand.NewPCG(1, 1))))
	candidate, ok := a.ReconnectTarget(rand.New(rand.NewPCG(1, 1)))
	require.True(t, ok)
	require.Equal(t, ident.HostID("b"), candidate.Instance.Host)
	b.HandleRequest(a.BeginRound(), testStart)
	a.Merge(b.Self(), testStart)
	seen, _ = a.Get("b")
	require.Equal(t, Alive, seen.Health, "a live member refutes that it is dead")
	a.ProbeFailed(b.Self().Instance, testStart)
	a.Tick(testStart.Add(time.Minute))
	a.Tick(testStart.Add(time.Hour))
	require.Equal(t, 2, a.Len(), "a member that may still run is not forgotten")
	stopped = true
	a.Tick(testStart.Add(time.Hour))
	require.Equal(t, 1, a.Len())
}

// Guards against loads being published more often than the interval allows, against load changes that alter the digest,
// and against load changes that do not reach other members.
func TestLoadPublicationsAreSpacedAndGossiped(t *testing.T) {
	a := New(DefaultConfig(ident.Instance{Host: "a", Incarnation: 1}), Payload{}, testStart)
	b := New(DefaultConfig(ident.Instance{Host: "b", Incarnation: 1}), Payload{}, testStart)
	a.Merge(b.Self(), testStart)
	b.Merge(a.Self(), testStart)
	digest := a.Digest()
	for ms := 0; ms < 12000; ms += 100 {
		now := testStart.Add(time.Duration(ms) * time.Millisecond)
		a.SetLoads([]Load{{Queued: uint32(ms)}})
		a.Tick(now)
	}
	require.Equal(t, uint64(9), a.Self().LoadVersion, "one publication every 1.2 s")
	require.Equal(t, digest, a.Digest())
	b.HandleRequest(a.BeginRound(), testStart)
	seen, _ := b.Get("a")
	require.Equal(t, a.Self().Loads, seen.Loads)
}
