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
	for _, tc := range []struct{ delay, from, step time.Duration }{
		{0, 0, publishInterval / 10},
		{8 * time.Millisecond, 0, publishInterval / 10},
		// With usual answers the publication has to fall into some 30 ms.
		{8 * time.Millisecond, 4 * time.Millisecond, 4 * time.Millisecond},
		{240 * time.Millisecond, 0, publishInterval / 10},
	} {
		for step := range 10 {
			phase := tc.from + time.Duration(step)*tc.step
			t.Run(fmt.Sprintf("%s/%s", tc.delay, phase), func(t *testing.T) {
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
					f.store.Client(hostName(back)).SetFault(kv.Fault{Delay: tc.delay})
					s := f.launchJobHost(back, 2)
					time.Sleep(phase)
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
