package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against a cell that has no owner for good after all hosts were lost and one of them came back: no record and no
// view changed after that host had read the roster, so that the lost hosts never counted as stopped. The steps move the
// regular publication of its state over the calls of its registration.
func TestLoneHostOwnsTheCell(t *testing.T) {
	const publishInterval = time.Second
	for _, delay := range []time.Duration{0, 8 * time.Millisecond, 240 * time.Millisecond} {
		for step := range 10 {
			t.Run(fmt.Sprintf("%s/%d", delay, step), func(t *testing.T) {
				runFleet(t, 1, func(f *fleet) {
					for i := range 3 {
						f.launchJobHost(i, 1)
					}
					f.checkFor(20 * time.Second)
					owners := f.fullOwners(0)
					require.Len(t, owners, 1)
					back := 0
					if owners[0] == hostName(back) {
						back = 1
					}
					for i := range 3 {
						f.crash(i)
					}
					time.Sleep(3500 * time.Millisecond)
					f.store.Client(hostName(back)).SetFault(kv.Fault{Delay: delay})
					s := f.launchJobHost(back, 2)
					time.Sleep(time.Duration(step) * publishInterval / 10)
					for range 20 {
						s.SetLocalState(cluster.LocalState{})
						time.Sleep(publishInterval)
					}
					require.Equal(t, []string{hostName(back)}, f.fullOwners(0))
				})
			})
		}
	}
}
