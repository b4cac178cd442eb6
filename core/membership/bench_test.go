package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// settledViews returns the views of two of n members that know all members and have nothing left to send.
func settledViews(n int) (a, b *View) {
	instance := func(i int) ident.Instance {
		return ident.Instance{Host: ident.HostID(fmt.Sprintf("relay-%03d", i)), Incarnation: 1}
	}
	views := make([]*View, 2)
	for i := range views {
		views[i] = New(DefaultConfig(instance(i)), Payload{PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i)}, testStart)
		for j := range n {
			views[i].Merge(Member{Instance: instance(j), Version: 1, Payload: Payload{PeerAddress: fmt.Sprintf("10.0.0.%d:7000", j)}}, testStart)
		}
		for views[i].HasPendingUpdates() {
			views[i].BeginRound()
		}
	}
	return views[0], views[1]
}

// BenchmarkIdleRound measures what a member does in a second without changes: it picks a member, exchanges digests with it,
// answers one exchange of another and looks for members to declare dead.
func BenchmarkIdleRound(b *testing.B) {
	for _, n := range []int{9, 97, 300, 1000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			own, other := settledViews(n)
			rng := rand.New(rand.NewPCG(1, 1))
			now := testStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				own.GossipTargets(rng)
				reply := other.HandleRequest(own.BeginRound(), now)
				own.HandleReply(reply, now)
				own.HandleRequest(other.BeginRound(), now)
				own.Tick(now)
			}
		})
	}
}
