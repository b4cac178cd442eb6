package explore

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
)

// Guards against a balancer that goes on sending callers to a host which can place no job, because it is cut off from the store
// and the owner, and against hosts that are taken out although the owner serves their calls in an outage of the store.
func TestHostWithoutStoreAndOwnerIsNotReady(t *testing.T) {
	// A host that loses contact says so within noticeTime.
	const noticeTime = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newJobCell(t)
		c.inboxWriteShare = daemon.DefaultInboxWriteShare
		c.readable.Store(outageTable(1, 10))
		var (
			logs  []*ownerLog
			hosts []*jobProcess
		)
		for n := range inboxHosts {
			logs = append(logs, &ownerLog{})
			hosts = append(hosts, c.startHost(n+1, logs[n]))
		}
		time.Sleep(15 * time.Second)
		ready := func() (n int) {
			for _, h := range hosts {
				if h.ready() {
					n++
				}
			}
			return n
		}
		setCut := func(h int, cut bool) {
			c.links.SetIsolated(network.Zone("nelson-"+string(rune('1'+h))), cut)
			hosts[h].store.SetFault(kv.Fault{Down: cut})
		}
		require.Equal(t, inboxHosts, ready())
		owner := slices.IndexFunc(logs, (*ownerLog).hasClaimed)
		other := (owner + 1) % inboxHosts
		for _, cut := range []int{other, owner} {
			setCut(cut, true)
			time.Sleep(noticeTime)
			require.False(t, hosts[cut].ready())
			require.Equal(t, inboxHosts-1, ready())
			setCut(cut, false)
			time.Sleep(noticeTime)
			require.Equal(t, inboxHosts, ready())
		}
		c.store.SetFault(kv.Fault{Down: true})
		time.Sleep(noticeTime)
		require.Equal(t, inboxHosts, ready(), "the owner serves")
		c.store.SetFault(kv.Fault{})
		for _, h := range hosts[1:] {
			h.kill()
		}
		c.close(hosts[0])
	})
}
