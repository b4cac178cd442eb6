package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// launchJobHost starts a process on host i with the times of hosts that run jobs only.
func (f *fleet) launchJobHost(i int, incarnation ident.Incarnation) *cluster.Service {
	return f.launch(i, incarnation, func(c *cluster.Config) {
		times := ownership.ConfigForTTL(2 * time.Second)
		times.Self, times.DataCentre, times.Cells, times.MaxDeadline = c.Ownership.Self, c.Ownership.DataCentre, c.Ownership.Cells, maxDeadline
		c.Ownership = times
	})
}

// Guards against an owner that keeps full authority after the store has revoked its lease, while a successor has it too:
// it denies the jobs that the successor has accepted. Either the watch or the other hosts tell it.
func TestRevokedLeaseEndsAuthority(t *testing.T) {
	for name, tc := range map[string]struct{ isolated, hangs bool }{
		"told_by_the_watch": {isolated: true}, "told_by_other_hosts": {hangs: true}, "told_by_none": {isolated: true, hangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			// The steps cover the interval of the renewals.
			for step := range 14 {
				t.Run(fmt.Sprint(step), func(t *testing.T) {
					runFleet(t, 1, func(f *fleet) {
						services := make(map[string]*cluster.Service)
						numbers := make(map[string]int)
						for i := range 3 {
							services[hostName(i)], numbers[hostName(i)] = f.launchJobHost(i, 1), i
						}
						f.checkFor(40*time.Second + time.Duration(step)*50*time.Millisecond)
						owners := f.fullOwners(0)
						require.Len(t, owners, 1)
						owner := owners[0]
						observer := f.store.Client("observer")
						record, found, err := observer.Get(t.Context(), "/own/0")
						require.NoError(t, err)
						require.True(t, found)

						f.store.Client(owner).SetFault(kv.Fault{Hang: tc.hangs})
						if tc.isolated {
							f.isolate(numbers[owner])
						}
						require.NoError(t, observer.Revoke(t.Context(), record.Lease))
						successor := false
						for range 3000 {
							time.Sleep(time.Millisecond)
							var full []string
							f.forEachHeldGrant(0, func(host string, g ownership.Grant) {
								if g.Authority == ownership.Full {
									full = append(full, host)
									successor = successor || g.Epoch > ident.Epoch(record.CreateRevision)
								}
							})
							require.LessOrEqual(t, len(full), 1, "hosts with full authority: %v", full)
						}
						require.True(t, successor)
						f.isolate()
						f.store.Client(owner).SetFault(kv.Fault{})
					})
				})
			}
		})
	}
}
