package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/contact"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// newContact creates the service that hands a cell to a host that reaches more of its workers.
func newContact(
	cells int, self ident.Instance, workers *jobs.Service, owners *cluster.Service, pool *peergrpc.Pool, prober contact.Prober,
	decisions jobs.DecisionLog, log *logrus.Entry,
) *contact.Service {
	return contact.New(contact.Config{
		Cells: CellIDs(cells), Workers: workers, Owners: owners, Peers: peergrpc.NewContactClient(pool), Prober: prober,
		DecisionLog: decisions, Seed: uint64(self.Incarnation), Log: log,
	})
}

// cutOffDrainTime bounds the drain of the jobs of a cell whose workers mostly do not answer, cutOffCallsTime the part of it
// that waits for calls to them. The work on the workers lapses after seconds, and the next owner must have claimed them by
// then.
const (
	cutOffDrainTime = 800 * time.Millisecond
	cutOffCallsTime = 250 * time.Millisecond
)

// drainJobs hands the jobs of a cell over. If cutOff is set, it does not wait for workers that do not answer.
func drainJobs(ctx context.Context, owned *jobs.Service, id ident.CellID, cutOff bool) error {
	if !cutOff {
		return owned.Drain(ctx, id)
	}
	ctx, cancel := context.WithTimeout(ctx, cutOffDrainTime)
	defer cancel()
	callsCtx, cancelCalls := context.WithTimeout(ctx, cutOffCallsTime)
	defer cancelCalls()
	return owned.DrainCutOff(ctx, callsCtx, id)
}
