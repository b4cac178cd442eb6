package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// JobSettings configures a JobHost.
type JobSettings struct {
	HostID     ident.HostID
	DataCentre ident.DataCentre
	// Regions gives the region of each data centre. A cell spans a part of one region: the room of its data centres is
	// shared, because a task that lasts must run wherever there is room for it.
	Regions map[ident.DataCentre]ident.DataCentre
	// Cells is the number of cells, the same on every host; 0 means one for each region.
	Cells int

	CallerAddress, StatusAddress, PeerAddress, MetricsAddress string

	// WorkerLease is the longest lease of a task, StopTime the longest time that a worker takes to stop one.
	WorkerLease, StopTime time.Duration
	// SmallestLease is the shortest lease of the store, StoreWrites its writes a second from all hosts together.
	SmallestLease time.Duration
	StoreWrites   float64
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// MilliCPU is the processor time of the host in thousandths of a core; 0 if it is not known.
	MilliCPU int64
}

// JobPorts connects a JobHost to the platform.
type JobPorts struct {
	// Metrics is served on the metrics address; the ports may count in it.
	Metrics *telemetry.Registry
	// Journal takes the decisions.
	Journal jobs.DecisionLog
	Store   store.Store
	Workers jobs.WorkerPort
	// FollowWorkers and FollowTable call back with the present state and each change, until ctx ends. The workers may be
	// as late as pause returns.
	FollowWorkers func(ctx context.Context, pause func() time.Duration, changed func([]lifecycle.Member))
	FollowTable   func(ctx context.Context, changed func(*table.Table))
	// RegisterCallers adds the routes of callers, Status those of the platform's checks.
	RegisterCallers func(e *echo.Echo, r *jobs.Router)
	RegisterStatus  func(e *echo.Echo, ready func() bool)
}

// regions lists the regions in a fixed order, so that every host numbers the cells alike.
func (s JobSettings) regions() []ident.DataCentre {
	return slices.Compact(slices.Sorted(maps.Values(s.Regions)))
}

// CellCount returns the number of cells of the deployment.
func (s JobSettings) CellCount() int {
	if s.Cells > 0 {
		return s.Cells
	}
	return len(s.regions())
}

// leaseTime returns the time to live of the host's lease: a third of a worker's, so that a successor renews before the
// tasks of a lost owner lapse, and waits for those on lost workers for half as long again as their leases at most.
func (s JobSettings) leaseTime() time.Duration {
	return max(s.SmallestLease, s.WorkerLease/3)
}

func (s JobSettings) policy() lifecycle.Policy {
	return lifecycle.Policy{
		LeaseDuration:   s.WorkerLease,
		LeaseMargin:     s.WorkerLease / clockRates,
		SilentAfter:     2 * jobSyncWait,
		StopRepeatDelay: s.StopTime + stopSlack,
		// The workers' own limits count every failure.
		ChargeAllFailures: true,
	}
}

func (s JobSettings) commitInterval() time.Duration {
	shared := time.Duration(float64(s.Cells) / (jobLogShare * s.StoreWrites) * float64(time.Second))
	return max(jobCommitInterval, shared)
}

// CellIDs lists the cells of a deployment.
func CellIDs(n int) []ident.CellID {
	out := make([]ident.CellID, n)
	for i := range out {
		out[i] = ident.CellID(i)
	}
	return out
}
