package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// evacuationFollower passes the requests for evacuations to the owners of one host.
type evacuationFollower struct {
	source evacuations.Source
	known  func(ident.DataCentre) bool
	bound  time.Duration
	// needed receives a value when an owner needs the requests to be read again.
	needed chan struct{}

	// jobs is set before run is called.
	jobs      *jobs.Service
	metrics   *telemetry.Registry
	log       *logrus.Entry
	decisions jobs.DecisionLog
}

// newEvacuationFollower returns the follower of a host; nil if the platform has no evacuations.
func (h *JobHost) newEvacuationFollower() *evacuationFollower {
	if h.ports.Evacuations == nil {
		return nil
	}
	return &evacuationFollower{
		source: h.ports.Evacuations, bound: h.settings.EvacuationBound, needed: make(chan struct{}, 1),
		known: func(dc ident.DataCentre) bool {
			_, ok := h.settings.Regions[dc]
			return ok
		},
		metrics: h.metrics, log: h.log, decisions: h.ports.DecisionLog,
	}
}

// newEvacuationFollower returns the follower of a host; nil if evacuations are turned off.
func (h *Host) newEvacuationFollower() *evacuationFollower {
	if h.settings.EvacuationBound == 0 {
		return nil
	}
	return &evacuationFollower{
		source: evacuations.StoreSource{Store: h.store}, bound: h.settings.EvacuationBound, needed: make(chan struct{}, 1),
		known: h.hasDataCentre, metrics: h.metrics, log: h.log,
	}
}

// refreshFunc returns the function that has the requests read again; nil if there is no follower.
func (f *evacuationFollower) refreshFunc() func() {
	if f == nil {
		return nil
	}
	return func() {
		select {
		case f.needed <- struct{}{}:
		default:
		}
	}
}

// serve sets the service that gets the requests.
func (f *evacuationFollower) serve(s *jobs.Service) {
	if f != nil {
		f.jobs = s
	}
}

// run follows the requests until ctx ends. It has a loop of its own, so that a request does not wait behind the changes
// of the workers.
func (f *evacuationFollower) run(ctx context.Context, demand func() hostlist.Demand) {
	evacuations.NewFollower(evacuations.Config{
		Source:  f.source,
		Demand:  hostlist.DemandSource{Current: demand, Raised: f.needed},
		Known:   f.known,
		Bound:   f.bound,
		Now:     time.Now,
		Changed: f.set,
		Ignored: f.ignore,
		Log:     f.log,
	}).Run(ctx)
}

func (f *evacuationFollower) set(set evacuation.Set) {
	f.jobs.SetEvacuations(set)
	f.metrics.Gauge("evacuations").Update(int64(len(set.Requests())))
	f.metrics.Gauge("evacuations_revision").Update(int64(set.Revision()))
	if !set.Current() {
		f.metrics.Counter("evacuations_stale_total").Inc(1)
	}
}

func (f *evacuationFollower) ignore(i evacuations.Ignored) {
	f.metrics.Counter("evacuations_ignored_total").Inc(1)
	f.log.WithFields(logrus.Fields{"data_centre": i.DataCentre, "revision": i.Revision, "reason": i.Reason}).
		Warn("ignoring a request for an evacuation")
	if f.decisions == nil {
		return
	}
	f.decisions.Record(jobs.EventEvacuationIgnored, jobs.Fields{
		jobs.FieldDataCentre: i.DataCentre, jobs.FieldRevision: uint64(i.Revision), jobs.FieldReason: i.Reason,
	})
}

// followEvacuations passes the requests for evacuations to the owners of this host until ctx ends. Every host owns cells.
func (h *Host) followEvacuations(ctx context.Context) {
	h.evacuations.run(ctx, func() hostlist.Demand { return hostlist.Demand{Needed: true} })
}

// hasDataCentre reports whether the deployment has a data centre.
func (h *Host) hasDataCentre(dc ident.DataCentre) bool {
	return slices.Contains(h.settings.DataCentres, string(dc))
}

// evacuationService returns the service that operators call; nil if evacuations are turned off.
func (h *Host) evacuationService() operatorhttp.EvacuationService {
	if h.evacuations == nil {
		return nil
	}
	return &evacuations.Operator{Store: h.store, Known: h.hasDataCentre, Evacuated: h.jobs.Evacuated, AllCells: h.settings.Cells}
}

// exportEvacuated publishes what is on the evacuated workers of the cells of this host.
func exportEvacuated(m *telemetry.Registry, s *jobs.Service) {
	centres, _ := s.Evacuated()
	workers := 0
	var stays [evacuation.StayReasons]int
	for _, c := range centres {
		workers += c.Workers
		for reason, tasks := range c.Stays {
			stays[reason] += tasks
		}
	}
	m.Gauge("evacuated_workers").Update(int64(workers))
	for reason, tasks := range stays {
		m.Gauge("evacuated_tasks", telemetry.Label{Name: "stays", Value: evacuation.Stay(reason).String()}).Update(int64(tasks))
	}
}
