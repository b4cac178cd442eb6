package daemon

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// exportMetrics copies the counters that the services keep into the metrics registry.
func (h *Host) exportMetrics() {
	exportCluster(h.metrics, h.cluster, h.settings.Cells)
	exportJobs(h.metrics, h.jobs.Stats())
	exportOwnerLoad(h.metrics, h.jobs.Load())
	exportEvacuated(h.metrics, h.jobs)
	exportGuard(h.metrics, h.guard)
	h.exportTable()
	records, bytes := h.ledgers.Own().Usage()
	h.metrics.Gauge("ledger_records").Update(records)
	h.metrics.Gauge("ledger_bytes").Update(bytes)
	h.metrics.Gauge("ledgers_adopted").Update(int64(len(h.ledgers.Adopted())))
	store := h.store.Counts()
	raiseCounter(h.metrics, "store_calls_total", store.Calls)
	raiseCounter(h.metrics, "store_refused_by_budget_total", store.OverBudget)
	raiseCounter(h.metrics, "store_unknown_total", store.UnknownOutcomes)
	raiseCounter(h.metrics, "store_endpoint_switches_total", store.EndpointSwitches)
}

// raiseCounter raises a metric to the value of a counter that is kept elsewhere. A lower value leaves it unchanged.
func raiseCounter(m *telemetry.Registry, name string, value int64, labels ...telemetry.Label) {
	counter := m.Counter(name, labels...)
	if grown := value - counter.Count(); grown > 0 {
		counter.Inc(grown)
	}
}

func exportCluster(m *telemetry.Registry, s *cluster.Service, cells int) {
	c := s.Counts()
	raiseCounter(m, "panics_total", contain.Panics())
	raiseCounter(m, "cluster_store_calls_total", c.StoreCalls)
	raiseCounter(m, "cluster_store_errors_total", c.StoreErrors)
	raiseCounter(m, "gossip_exchanges_total", c.Exchanges)
	raiseCounter(m, "gossip_errors_total", c.ExchangeErrors)
	raiseCounter(m, "probes_total", c.Probes)
	raiseCounter(m, "probe_errors_total", c.ProbeErrors)
	raiseCounter(m, "cells_claimed_total", c.Claims)
	raiseCounter(m, "cells_lost_total", c.Losses)
	raiseCounter(m, "cells_fenced_total", c.Fences)
	raiseCounter(m, "leave_timeouts_total", c.LeaveTimeouts)
	full, inDoubt := int64(0), int64(0)
	for i := range cells {
		switch s.Grant(ident.CellID(i)).Authority {
		case ownership.Full:
			full++
		case ownership.InDoubt:
			inDoubt++
		default:
		}
	}
	m.Gauge("cells_owned", telemetry.Label{Name: "authority", Value: "full"}).Update(full)
	m.Gauge("cells_owned", telemetry.Label{Name: "authority", Value: "in-doubt"}).Update(inDoubt)
}

func exportJobs(m *telemetry.Registry, s *jobs.Stats) {
	raiseCounter(m, "jobs_accepted_total", s.AcceptedJobs.Load())
	raiseCounter(m, "jobs_refused_total", s.RefusedJobs.Load())
	raiseCounter(m, "jobs_unknown_total", s.UnknownJobs.Load())
	raiseCounter(m, "task_starts_total", s.StartedTasks.Load())
	raiseCounter(m, "task_starts_refused_total", s.RefusedStarts.Load())
	raiseCounter(m, "task_starts_unknown_total", s.UnknownStarts.Load())
	raiseCounter(m, "task_copies_started_total", s.CopiesStarted.Load())
	raiseCounter(m, "task_copies_won_total", s.CopiesWon.Load())
	raiseCounter(m, "task_copies_lost_total", s.CopiesLost.Load())
	raiseCounter(m, "task_copies_wasted_cpu_ms_total", time.Duration(s.WastedCopyTime.Load()).Milliseconds())
	raiseCounter(m, "cell_log_commits_total", s.Commits.Load())
	raiseCounter(m, "cell_log_records_total", s.Records.Load())
	raiseCounter(m, "cells_replaced_total", s.ReplacedOwners.Load())
	raiseCounter(m, "cells_table_wait_ms_total", time.Duration(s.TableWait.Load()).Milliseconds())
	raiseCounter(m, "inbox_written_total", s.InboxWritten.Load())
	raiseCounter(m, "inbox_refused_total", s.InboxRefused.Load())
	raiseCounter(m, "inbox_taken_total", s.InboxTaken.Load())
	raiseCounter(m, "inbox_leftovers_total", s.InboxLeftovers.Load())
	raiseCounter(m, "inbox_failed_total", s.InboxFailed.Load())
	for cause := range retry.Causes {
		raiseCounter(m, "job_retries_advised_total", s.Refusals(cause), telemetry.Label{Name: "cause", Value: cause.String()})
	}
	exportLookAhead(m, &s.LookAhead)
}

func exportLookAhead(m *telemetry.Registry, s *jobs.LookAheadStats) {
	raiseCounter(m, "reservations_made_total", s.Reserved.Load())
	raiseCounter(m, "reservations_kept_total", s.Kept.Load())
	raiseCounter(m, "reservations_elsewhere_total", s.Elsewhere.Load())
	raiseCounter(m, "reservations_expired_total", s.Expired.Load())
	raiseCounter(m, "reserved_room_lent_total", s.Backfilled.Load())
	raiseCounter(m, "reserved_room_yielded_total", s.Yielded.Load())
	raiseCounter(m, "forecasts_total", s.Forecasts.Load())
	raiseCounter(m, "forecast_error_ms_total", time.Duration(s.ForecastError.Load()).Milliseconds())
}

func exportOwnerLoad(m *telemetry.Registry, l jobs.Load) {
	m.Gauge("owner_late_cells").Update(int64(l.LateCells))
	m.Gauge("owner_table_wait_ms").Update(l.TableWait.Milliseconds())
	m.Gauge("owner_oldest_contact_ms").Update(l.LongestSilence.Milliseconds())
	m.Gauge("owner_silent_workers").Update(int64(l.SilentWorkers))
	m.Gauge("owner_workers_reached").Update(int64(l.ReachedWorkers))
	m.Gauge("owner_workers_unreached").Update(int64(l.UnreachedWorkers))
	m.Gauge("owner_queued_tasks").Update(l.QueuedTasks)
	m.Gauge("owner_running_copies").Update(int64(l.RunningCopies))
	m.Gauge("owner_calls_waiting").Update(l.QueuedCalls)
	m.Gauge("owner_syncs_in_progress").Update(l.SyncsInProgress)
	m.Gauge("owner_events_waiting").Update(l.QueuedEvents)
}

// ownerMeter implements jobs.Meter.
type ownerMeter struct {
	loopDelay, durableTime, inboxWait metrics.Histogram
	registry                          *telemetry.Registry
}

func newOwnerMeter(m *telemetry.Registry) ownerMeter {
	return ownerMeter{
		loopDelay: m.Histogram("owner_loop_delay_us"), durableTime: m.Histogram("cell_log_durable_ms"),
		inboxWait: m.Histogram("inbox_wait_ms"), registry: m,
	}
}

// LoopDelay implements jobs.Meter.
func (o ownerMeter) LoopDelay(d time.Duration) { o.loopDelay.Update(d.Microseconds()) }

// CommitDelay implements jobs.Meter.
func (o ownerMeter) CommitDelay(d time.Duration) { o.durableTime.Update(d.Milliseconds()) }

// InboxWait implements jobs.Meter.
func (o ownerMeter) InboxWait(d time.Duration) { o.inboxWait.Update(d.Milliseconds()) }

// LongestWait implements jobs.Meter.
func (o ownerMeter) LongestWait(cell ident.CellID, class ident.ClassName, d time.Duration) {
	labels := []telemetry.Label{{Name: "cell", Value: strconv.FormatUint(uint64(cell), 10)}, {Name: "class", Value: string(class)}}
	o.registry.Gauge("task_longest_wait_ms", labels...).Update(d.Milliseconds())
}

// TaskWaits implements jobs.Meter.
func (o ownerMeter) TaskWaits(reason string) {
	o.registry.Counter("task_waits_total", telemetry.Label{Name: "reason", Value: reason}).Inc(1)
}

func (h *Host) exportTable() {
	c := h.config.Counters()
	raiseCounter(h.metrics, "table_installed_total", c.Installed.Load())
	raiseCounter(h.metrics, "table_from_peers_total", c.FromPeers.Load())
	raiseCounter(h.metrics, "table_store_faults_total", c.StoreFaults.Load())
	raiseCounter(h.metrics, "table_watch_cuts_total", c.WatchCuts.Load())
	raiseCounter(h.metrics, "table_rejected_total", c.RejectedUpdates.Load())
}
