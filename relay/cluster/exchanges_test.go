package cluster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// shortLease configures the times of a host for a lease of 2 s, as on a platform whose workers renew often.
func shortLease(c *cluster.Config) {
	oc := ownership.ConfigForTTL(2 * time.Second)
	oc.Self, oc.DataCentre, oc.Cells, oc.MaxDeadline = c.Ownership.Self, c.Ownership.DataCentre, c.Ownership.Cells, c.Ownership.MaxDeadline
	c.Ownership = oc
}

func (f *fleet) launchWithShortLease(n int) []*cluster.Service {
	var out []*cluster.Service
	for i := range n {
		out = append(out, f.launch(i, 1, shortLease))
	}
	return out
}

// exchangesPerSecond returns the exchanges that each host makes a second, measured over the given time.
func exchangesPerSecond(hosts []*cluster.Service, over time.Duration) []float64 {
	before := make([]int64, len(hosts))
	for i, s := range hosts {
		before[i] = s.Counts().Exchanges
	}
	time.Sleep(over)
	rates := make([]float64, len(hosts))
	for i, s := range hosts {
		rates[i] = float64(s.Counts().Exchanges-before[i]) / over.Seconds()
	}
	return rates
}

// idleExchangesPerSecond bounds the exchanges of an idle host: one a second, with a second call if the views differ.
const idleExchangesPerSecond = 2.0

// Guards against hosts that take a short lease for one that is about to lapse, and therefore exchange state with all
// members all the time.
func TestShortLeaseCausesNoExchangesWithAll(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		hosts := f.launchWithShortLease(20)
		time.Sleep(40 * time.Second)
		f.requireAllOwned()
		for i, rate := range exchangesPerSecond(hosts, 30*time.Second) {
			require.LessOrEqual(t, rate, idleExchangesPerSecond, "exchanges of %s a second", hostName(i))
		}
	})
}

// Guards against hosts without a cell that ask all members for reports during a store outage, although only owners of
// cells rely on reports.
func TestOnlyOwnersAskAllMembersDuringStoreOutage(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		hosts := f.launchWithShortLease(20)
		time.Sleep(40 * time.Second)
		f.requireAllOwned()
		f.store.SetFault(kv.Fault{Hang: true})
		time.Sleep(20 * time.Second)
		for i, rate := range exchangesPerSecond(hosts, 30*time.Second) {
			if hosts[i].Grant(0).Authority == ownership.None {
				require.LessOrEqual(t, rate, idleExchangesPerSecond, "exchanges of %s a second", hostName(i))
			}
		}
		f.requireAllOwned()
	})
}

// Guards against an owner that asks for reports only after its lease has lapsed, and therefore loses its authority for
// a moment at the start of each store outage.
func TestOwnerWithShortLeaseStaysFullThroughStoreOutages(t *testing.T) {
	runFleet(t, 1, func(f *fleet) {
		f.launchWithShortLease(12)
		time.Sleep(40 * time.Second)
		for range 5 {
			f.store.SetFault(kv.Fault{Hang: true})
			for range 500 {
				require.Len(t, f.fullOwners(0), 1)
				time.Sleep(20 * time.Millisecond)
			}
			f.store.SetFault(kv.Fault{})
			// Each outage begins at another time within the interval between two exchanges.
			time.Sleep(20*time.Second + 170*time.Millisecond)
		}
	})
}
