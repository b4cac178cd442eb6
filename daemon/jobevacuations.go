package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// followEvacuations passes the requests for evacuations to the owners until ctx ends. It has a loop of its own, so that a
// request does not wait behind the changes of the workers.
func (h *JobHost) followEvacuations(ctx context.Context) {
	evacuations.NewFollower(evacuations.Config{
		Source: h.ports.Evacuations,
		Demand: hostlist.DemandSource{Current: h.workerDemand, Raised: h.evacuationsNeeded},
		Known: func(dc ident.DataCentre) bool {
			_, ok := h.settings.Regions[dc]
			return ok
		},
		Bound:   h.settings.EvacuationBound,
		Now:     time.Now,
		Changed: h.setEvacuations,
		Ignored: h.ignoreEvacuation,
	}).Run(ctx)
}

// refreshEvacuations returns the function that has the requests read again; nil if the platform has none.
func (h *JobHost) refreshEvacuations() func() {
	if h.ports.Evacuations == nil {
		return nil
	}
	return func() {
		select {
		case h.evacuationsNeeded <- struct{}{}:
		default:
		}
	}
}

func (h *JobHost) setEvacuations(set evacuation.Set) {
	h.jobs.SetEvacuations(set)
	h.metrics.Gauge("evacuations").Update(int64(len(set.Requests())))
	h.metrics.Gauge("evacuations_revision").Update(int64(set.Revision()))
	if !set.Current() {
		h.metrics.Counter("evacuations_stale_total").Inc(1)
	}
}

func (h *JobHost) ignoreEvacuation(i evacuations.Ignored) {
	h.metrics.Counter("evacuations_ignored_total").Inc(1)
	h.log.WithFields(logrus.Fields{"data_centre": i.DataCentre, "revision": i.Revision, "reason": i.Reason}).
		Warn("ignoring a request for an evacuation")
	h.ports.DecisionLog.Record(jobs.EventEvacuationIgnored, jobs.Fields{
		jobs.FieldDataCentre: i.DataCentre, jobs.FieldRevision: uint64(i.Revision), jobs.FieldReason: i.Reason,
	})
}
