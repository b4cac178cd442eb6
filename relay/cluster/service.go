package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
)

const (
	// renewalsPerTTL and retriesPerTTL are the number of renewals, and of attempts after a failure, in the time to
	// live of the lease.
	renewalsPerTTL = 3
	retriesPerTTL  = 9
	// stepInterval is the resolution of the waiting times in the ownership rules.
	stepInterval = 200 * time.Millisecond
	// rosterReadInterval is the time between reads of the roster while the host needs it.
	rosterReadInterval = 2 * time.Second
	// peerTimeout bounds a call to another member. It is shorter than the time for which a report is valid.
	peerTimeout = 500 * time.Millisecond
	// idleExchangeInterval and fastExchangeInterval are the times between exchanges without and with changes to send.
	idleExchangeInterval = time.Second
	fastExchangeInterval = 200 * time.Millisecond
	// fullExchangeInterval is the time between the starts of exchanges with every member while this host needs their
	// reports. Reports are valid for 700 ms or longer; 300 ms cost two thirds more traffic.
	fullExchangeInterval = 500 * time.Millisecond
	// minExchangePause separates rounds that take longer than their interval because members do not answer.
	minExchangePause = 20 * time.Millisecond
	// reconnectInterval is the time between attempts to reach members that are considered dead.
	reconnectInterval = 5 * time.Second
	fenceInterval     = time.Second
	// maxNewMembers bounds the exchanges of one round with members that gossip has not named yet.
	maxNewMembers = 3
	recordShards  = 16
)

// Config holds the dependencies and settings of a Service.
type Config struct {
	Ownership ownership.Config
	// PeerAddress and CallerAddress are the addresses of this host for other members and for callers.
	PeerAddress   string
	CallerAddress string
	// MilliCPU is the processor time available to this host, in thousandths of a core; 0 if unknown.
	MilliCPU int64
	// Seeds are the peer addresses through which to join, in addition to the members in the store.
	Seeds     []string
	Store     store.Store
	Transport Transport
	Codec     Codec
	// Now is the clock; time.Now by default. It must advance in step with timers.
	Now func() time.Time
	// Seed seeds the random choice of peers.
	Seed uint64
	// Drain waits until nothing runs in the cell any more, or until ctx ends. Nil means that nothing needs to drain. cutOff is
	// set if the cell goes to a host that reaches more of its workers: calls to workers that do not answer must then not
	// delay the hand-over.
	Drain func(ctx context.Context, cell ident.CellID, cutOff bool)
	// BusyFor returns how long requests in progress in a cell may still hold slots; nil means the longest deadline.
	BusyFor func(cell ident.CellID) time.Duration
	Log     logrus.FieldLogger
}

// GrantChange is a change of this host's grant for a cell.
type GrantChange struct {
	Old, New ownership.Grant
}

// Member is a member of the cluster as seen by this host.
type Member struct {
	membership.Member

	Address string
}

// Counts holds the numbers of calls and events since the start.
type Counts struct {
	StoreCalls, StoreErrors      int64
	Exchanges, ExchangeErrors    int64
	Probes, ProbeErrors          int64
	Claims, Losses, Fences       int64
	WatchRestarts, LeaveTimeouts int64
}

type counters struct {
	storeCalls, storeErrors, exchanges, exchangeErrors, probes, probeErrors atomic.Int64
	claims, losses, fences, watchRestarts, leaveTimeouts                    atomic.Int64
}

// Service runs one host's part of the cluster. Its state is divided into shards, each under its own lock. A goroutine
// holds at most one of these locks, and none during I/O or a channel send that can block. To pass data from one shard
// to another, it is copied before the second shard is locked.
type Service struct {
	cfg          Config
	now          func() time.Time
	log          logrus.FieldLogger
	counters     counters
	changed      chan struct{}
	exchangeSoon chan struct{}
	stepSoon     chan struct{}

	ownedCells ownershipShard
	view       viewShard
	// publishedRights and publishedPeers are copies of the two shards that the request path reads without a lock.
	publishedRights atomic.Pointer[rights]
	publishedPeers  atomic.Pointer[peers]
	// records holds the latest record of each host in the store.
	records     *shard.Map[ident.HostID, MemberRecord]
	listedHosts platformHosts
	// generatorCount counts the random generators created so far.
	generatorCount atomic.Uint64
	// inRoster is set once the host has written its roster record.
	inRoster atomic.Bool

	// mu guards the fields below, because Close may run concurrently with Start and Leave.
	mu        sync.Mutex
	listeners []func(GrantChange)
	cancel    context.CancelFunc
	// running counts the goroutines of the service.
	running sync.WaitGroup
}

// LocalState is the part of the gossip payload that other parts of the daemon provide.
type LocalState struct {
	TableRevision uint64
	Loads         []membership.Load
	Ledgers       []ident.Instance
}

// New returns a Service that is not running yet.
func New(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	now := cfg.Now()
	s := &Service{
		cfg: cfg, now: cfg.Now, log: cfg.Log.WithField("part", "cluster"),
		changed: make(chan struct{}, 1), exchangeSoon: make(chan struct{}, 1), stepSoon: make(chan struct{}, 1),
		records: shard.NewStringMap[ident.HostID, MemberRecord](recordShards),
	}
	s.ownedCells.machine = ownership.New(cfg.Ownership, now)
	s.ownedCells.maxDeadline = cfg.Ownership.MaxDeadline
	s.updateMachine(func(*ownership.Machine, time.Time) {})
	mc := membership.DefaultConfig(cfg.Ownership.Self)
	mc.HasStopped = func(i ident.Instance) bool { return s.publishedRights.Load().stopped.Contains(i) }
	s.view.fixed = membership.Payload{
		PeerAddress: cfg.PeerAddress, CallerAddress: cfg.CallerAddress, DataCentre: cfg.Ownership.DataCentre,
	}
	s.view.members = membership.New(mc, s.view.payload(), now)
	s.updateView(func(*membership.View, time.Time) {})
	return s
}

// callTimeout bounds a call to the store. It leaves time for two attempts within the time to live of the lease.
func (s *Service) callTimeout() time.Duration { return s.cfg.Ownership.TTL * 5 / 18 }

func (s *Service) renewInterval() time.Duration { return s.cfg.Ownership.TTL / renewalsPerTTL }

func (s *Service) retryInterval() time.Duration { return s.cfg.Ownership.TTL / retriesPerTTL }

// Start runs the service until Close or Leave.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	for name, loop := range map[string]func(context.Context){
		"lease": s.keepLease, "owners": s.watchOwners, "members": s.watchMembers, "steps": s.stepLoop,
		"gossip": s.gossipLoop, "probes": s.probeLoop, "grant changes": s.notifyLoop,
	} {
		s.running.Go(func() { contain.Loop(ctx, s.log, "the cluster's loop for "+name, loop) })
	}
}

// spawn runs f in a goroutine of the service. A panic in it does not end the process.
func (s *Service) spawn(name string, f func()) {
	s.running.Go(func() {
		defer contain.Recover(s.log, name, nil)
		f()
	})
}

// Close stops the service at once, as a crash would: the lease is left to expire.
func (s *Service) Close() {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		s.running.Wait()
	}
}

// Leave hands over all cells, announces the departure and stops. If ctx ends before the cells are handed over, it
// returns an error, and they lapse with the lease.
func (s *Service) Leave(ctx context.Context) error {
	defer s.Close()
	s.updateMachine(func(m *ownership.Machine, _ time.Time) { m.SetLeaving() })
	s.updateView(func(v *membership.View, now time.Time) { v.SetDeparture(membership.Leaving, now) })
	err := s.awaitCellsReleased(ctx)
	if err != nil {
		s.counters.leaveTimeouts.Add(1)
	}
	// Other members take the announcement as proof that this host no longer uses any cell.
	s.updateMachine(func(m *ownership.Machine, _ time.Time) { m.Abandon() })
	s.updateView(func(v *membership.View, now time.Time) { v.SetDeparture(membership.Left, now) })
	// The announcement and the revocation must be sent even if ctx has ended.
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.callTimeout())
	defer cancel()
	s.exchangeRound(last, true)
	s.unregister(last)
	return err
}

func (s *Service) awaitCellsReleased(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		var held []ident.CellID
		s.withMachine(func(m *ownership.Machine, _ time.Time) { held = m.HeldCells() })
		if len(held) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("leave: cells %v not handed over: %w", held, ctx.Err())
		}
	}
}

func notifyChannel(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// newRand returns a random generator for one goroutine. Each has its own sequence, so that no lock is needed.
func (s *Service) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(s.cfg.Seed, s.generatorCount.Add(1)))
}

// SetLocalState replaces the part of the gossip payload that the rest of the daemon provides.
func (s *Service) SetLocalState(l LocalState) {
	c := s.storeContact()
	s.updateView(func(v *membership.View, now time.Time) {
		s.view.local = l
		s.view.setContact(c)
		v.SetPayload(s.view.payload(), now)
		v.SetLoads(l.Loads)
	})
}

// GiveUp releases a cell whose work under the given epoch has ended on this host for another reason than the loss of its
// grant. This host or another one claims it anew.
func (s *Service) GiveUp(cell ident.CellID, epoch ident.Epoch) {
	s.updateMachine(func(m *ownership.Machine, _ time.Time) { m.GiveUp(cell, epoch) })
	notifyChannel(s.stepSoon)
}

// SetHostList sets the hosts that the platform lists. A host that was listed and no longer is has stopped.
func (s *Service) SetHostList(hosts []ident.HostID) {
	dropped := s.listedHosts.replace(hosts)
	s.updateMachine(func(m *ownership.Machine, now time.Time) {
		for _, i := range m.KnownInstances() {
			if dropped[i.Host] {
				m.InstanceStopped(i, s.cfg.Ownership.MaxDeadline, now)
			}
		}
	})
}

// Counts returns the numbers of calls and events since the start.
func (s *Service) Counts() Counts {
	c := &s.counters
	return Counts{
		StoreCalls: c.storeCalls.Load(), StoreErrors: c.storeErrors.Load(),
		Exchanges: c.exchanges.Load(), ExchangeErrors: c.exchangeErrors.Load(),
		Probes: c.probes.Load(), ProbeErrors: c.probeErrors.Load(),
		Claims: c.claims.Load(), Losses: c.losses.Load(), Fences: c.fences.Load(),
		WatchRestarts: c.watchRestarts.Load(), LeaveTimeouts: c.leaveTimeouts.Load(),
	}
}
