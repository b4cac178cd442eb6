package daemon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/contact"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// JobSettings configures a JobHost.
type JobSettings struct {
	HostID     ident.HostID
	DataCentre ident.DataCentre
	// Regions maps each data centre to its region. A cell covers part of one region, across its data centres, because
	// a long-running task must be able to run wherever there is capacity.
	Regions map[ident.DataCentre]ident.DataCentre
	// Cells is the number of cells, the same on every host; 0 means one for each region.
	Cells int

	CallerAddress, StatusAddress, PeerAddress, MetricsAddress string

	// WorkerLease is the longest lease that workers grant to a task, StopTime the longest time that a worker takes to stop a
	// task.
	WorkerLease, StopTime time.Duration
	// LongestStandstill is how long lasting tasks may stand still after the loss of their worker, also if the owner of their
	// cell is lost with it. TaskLease follows from it. 0 sets no limit.
	LongestStandstill time.Duration
	// SmallestLease is the shortest lease that the store grants, StoreWrites the writes a second that it takes from
	// all hosts together.
	SmallestLease time.Duration
	StoreWrites   float64
	// EvacuationBound is the time from a request for the evacuation of a data centre until nothing more may start there. It
	// is needed if the ports have a source of such requests.
	EvacuationBound time.Duration
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// InboxWriteShare is the share of StoreWrites that all hosts together may use to write jobs into the inboxes of cells. With
	// 0, no host uses inboxes.
	InboxWriteShare float64
	// MilliCPU is the CPU capacity of the host in thousandths of a core; 0 if it is not known.
	MilliCPU int64
	// NoSpeculativeCopies turns off second attempts of overdue tasks.
	NoSpeculativeCopies bool
	// OffRackSlowdown is how many times as long a task takes away from the rack with its data; 0 if it is not known.
	OffRackSlowdown float64
	// LookAhead turns look-ahead placement on; see placement.Options.
	LookAhead bool
	ClientLimits
}

// WorkerPort performs the calls to workers, and asks them whether they answer.
type WorkerPort interface {
	jobs.WorkerPort
	contact.Prober
}

// JobPorts connects a JobHost to the platform.
type JobPorts struct {
	// Metrics is served on the metrics address. The other ports may add their own metrics to it.
	Metrics *telemetry.Registry
	// DecisionLog records the decisions of the host.
	DecisionLog jobs.DecisionLog
	Store       store.Store
	Workers     WorkerPort
	// FollowWorkers and FollowTable call changed with the present state and after each change, until ctx ends.
	// FollowWorkers may let its list fall behind as far as demand allows, and has none without demand. While the list is
	// not complete, workers that it lacks may be alive.
	FollowWorkers func(ctx context.Context, demand hostlist.DemandSource, changed func(workers []lifecycle.Member, complete bool))
	FollowTable   func(ctx context.Context, changed func(*table.Table))
	// Evacuations reads the requests for evacuations; nil if the platform has none.
	Evacuations evacuations.Source
	// RegisterCallers adds the routes of callers, RegisterStatus those of the platform's health checks.
	RegisterCallers func(e *echo.Echo, r *jobs.Router)
	RegisterStatus  func(e *echo.Echo, ready func() bool)
	// IdleCloseResponse is the HTTP response that a planned stop writes to the idle connections of callers. It must not
	// say that a call was not carried out: the host may still carry out one that is written at the same moment.
	IdleCloseResponse string
	// Listen replaces the TCP listeners, DialPeer the TCP dialer for other hosts.
	Listen   func(address string) (net.Listener, error)
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
}

func (p JobPorts) peerPool() *peergrpc.Pool {
	if p.DialPeer == nil {
		return peergrpc.NewPool(insecure.NewCredentials())
	}
	return peergrpc.NewPool(insecure.NewCredentials(), grpc.WithContextDialer(p.DialPeer))
}

func (p JobPorts) listen(address string) (net.Listener, error) {
	if p.Listen == nil {
		return listenTCP(address)
	}
	return p.Listen(address)
}

// regions lists the regions in a fixed order, so that every host numbers the cells in the same way.
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

// maxLeaseTime bounds the lease of a host. Callers repeat a call for about 3 s, within which the successor of a lost owner
// must accept jobs.
const maxLeaseTime = 2 * time.Second

// leaseTime returns the time to live of the host's lease: a third of a worker's lease, but at most maxLeaseTime. A successor
// then renews the leases of tasks before they end after the loss of their owner, and waits at most one and a half worker
// leases for tasks on workers that are lost too.
func (s JobSettings) leaseTime() time.Duration {
	return max(s.SmallestLease, min(s.WorkerLease/3, maxLeaseTime))
}

const (
	// DefaultLongestStandstill is the usual value of JobSettings.LongestStandstill. Platforms count a lasting task as lost if
	// it does not run 12 s after the loss of its worker.
	DefaultLongestStandstill = 12 * time.Second
	// minLongestStandstill leaves leases that a successor can renew before they end.
	minLongestStandstill = 10500 * time.Millisecond
	// acquireTime is the time for the claim transaction, the read of the cell log and the first run of the planner.
	acquireTime = 300 * time.Millisecond
	// restartTime is the time for the restart of the tasks of many lost workers while little room is free.
	restartTime = 3 * time.Second
)

// TaskLease returns the lease of a task. A new owner that knows nothing of a silent worker waits for a whole lease after
// its claim of the cell before it starts the worker's tasks again, and without a loss of the owner they wait as long.
func (s JobSettings) TaskLease() time.Duration {
	if s.LongestStandstill == 0 {
		return s.WorkerLease
	}
	c := ownership.ConfigForTTL(s.leaseTime())
	// Two members that are preferred as owners may have been lost too, or may be too new to claim.
	claimed := c.TTL + max(c.PresumeStoppedAfter, 2*c.RankStep)
	wait := s.LongestStandstill - claimed - acquireTime - restartTime
	// A successor must be able to renew a lease that the lost owner renewed one sync before. That takes longer than the wanted
	// lease if the store grants only long leases to hosts.
	renewable := c.TTL + 2*c.RankStep + c.SettleWait + 2*jobSyncWait
	return min(s.WorkerLease, max(renewable, wait*leaseMarginDivisor/(leaseMarginDivisor+1)))
}

// CheckLongestStandstill checks a value of JobSettings.LongestStandstill.
func CheckLongestStandstill(d time.Duration) error {
	if d != 0 && d < minLongestStandstill {
		return fmt.Errorf("longest-standstill: %s: want 0, or %s or more", d, minLongestStandstill)
	}
	return nil
}

// policy returns the times and rules of the job service for these workers.
func (s JobSettings) policy() lifecycle.Policy {
	return lifecycle.Policy{
		LeaseDuration:   s.TaskLease(),
		LeaseMargin:     s.TaskLease() / leaseMarginDivisor,
		LongestLease:    s.WorkerLease,
		SilentAfter:     2 * jobSyncWait,
		StopRepeatDelay: s.StopTime + endListingDelay,
		// The workers' own retry limits count every failure, too.
		ChargeAllFailures: true,
		SpeculativeCopies: !s.NoSpeculativeCopies,
	}
}

// commitInterval returns the shortest time between two commits of one cell, so that all cells together stay within
// jobLogWriteShare of the store's writes.
func (s JobSettings) commitInterval() time.Duration {
	shared := time.Duration(float64(s.Cells) / (jobLogWriteShare * s.StoreWrites) * float64(time.Second))
	return max(jobCommitInterval, shared)
}

// DefaultInboxWriteShare is the usual value of JobSettings.InboxWriteShare. The 28 jobs a second of the largest known
// deployment are a quarter of the 120 writes a second that it gives them.
const DefaultInboxWriteShare = 0.1

const (
	// maxInboxEntries and maxInboxBytes bound the inbox of one cell: the jobs of a minute without an owner.
	maxInboxEntries = 2000
	maxInboxBytes   = 8 << 20
)

// inboxConfig returns the settings of the inboxes. hosts returns the number of hosts that share their limits.
func (s JobSettings) inboxConfig(kv jobs.Store, hosts func() int) jobs.InboxConfig {
	if s.InboxWriteShare <= 0 {
		return jobs.InboxConfig{}
	}
	return jobs.InboxConfig{
		Store: kv, WritesPerSecond: s.InboxWriteShare * s.StoreWrites,
		MaxEntries: maxInboxEntries, MaxBytes: maxInboxBytes, Hosts: hosts,
	}
}

// CellIDs lists the ids of n cells, from 0.
func CellIDs(n int) []ident.CellID {
	out := make([]ident.CellID, n)
	for i := range out {
		out[i] = ident.CellID(i)
	}
	return out
}
