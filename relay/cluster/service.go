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
)

const (
	// The time to live of the lease divided by these gives the time between renewals, and between those that follow a
	// failure.
	renewals = 3
	retries  = 9
	// stepEvery is the resolution of the waits in the ownership rules.
	stepEvery = 200 * time.Millisecond
	// rosterEvery spaces the reads of the roster while the host needs it.
	rosterEvery = 2 * time.Second
	// peerTimeout bounds a call to another member. It is under the time for which a report counts.
	peerTimeout = 500 * time.Millisecond
	// restEvery and quickEvery space the exchanges, without and with changes to send.
	restEvery  = time.Second
	quickEvery = 200 * time.Millisecond
	// allEvery spaces the exchanges with every member while the store does not answer. Reports count for 1 s, so that an
	// answer may take up to half a second; 300 ms took two thirds more traffic.
	allEvery = 500 * time.Millisecond
	// unreachedEvery spaces the attempts to reach members that are thought dead.
	unreachedEvery = 5 * time.Second
	fenceEvery     = time.Second
	// maxNewMembers bounds the exchanges of one round with members that gossip has not named yet.
	maxNewMembers = 3
	recordShards  = 16
)

// Config sets up a Service.
type Config struct {
	Ownership ownership.Config
	// PeerAddress and CallerAddress are where other members and callers reach this host.
	PeerAddress   string
	CallerAddress string
	// MilliCPU is the processor time that this host may use, in thousandths of a core; 0 if it is not known.
	MilliCPU int64
	// Seeds are peer addresses to join through, beside the members in the store.
	Seeds     []string
	Store     store.Store
	Transport Transport
	Codec     Codec
	// Now is the clock; time.Now by default. It must run with the timers.
	Now func() time.Time
	// Seed starts the random choice of peers.
	Seed uint64
	// Drain returns when nothing runs in the cell any more, or when ctx ends. Nil means that nothing needs to drain.
	Drain func(ctx context.Context, cell ident.CellID)
	// BusyFor returns how long requests under way in a cell may still hold slots; nil means the longest deadline.
	BusyFor func(cell ident.CellID) time.Duration
	Log     logrus.FieldLogger
}

// GrantChange is a change of this host's right in a cell.
type GrantChange struct {
	Old, New ownership.Grant
}

// Member is a member of the cluster as this host sees it.
type Member struct {
	membership.Member

	Address string
}

// Counts are the calls and events so far.
type Counts struct {
	StoreCalls, StoreErrors      int64
	Exchanges, ExchangeErrors    int64
	Probes, ProbeErrors          int64
	Claims, Losses, Fences       int64
	WatchRestarts, LeaveTimeouts int64
}

type counters struct {
	storeCalls, storeErrors, exchanges, exchangeErrors, probes, probeErrors atomic.Int64
	claims, losses, fences, watchRestarts, leaveExpiry                      atomic.Int64
}

// Service runs one host's part of the cluster. Its state is divided into shards, each under its own lock; a goroutine
// holds at most one of them, and none over I/O or a channel send. What one shard has to tell another is copied out of
// the first before the second is locked.
type Service struct {
	cfg      Config
	now      func() time.Time
	log      logrus.FieldLogger
	counters counters
	changed  chan struct{}
	kick     chan struct{}
	wake     chan struct{}

	owned ownershipShard
	view  viewShard
	// rights and peers are what the request path reads of the two shards, without a lock.
	rights atomic.Pointer[rights]
	peers  atomic.Pointer[peers]
	// records holds the latest record of each host in the store.
	records *shard.Map[ident.HostID, MemberRecord]
	hosts   hostList
	// draws counts the random generators made so far.
	draws atomic.Uint64
	// rostered says that the host has written its roster record.
	rostered atomic.Bool

	// mu guards the fields below, because Close may run beside Start and Leave.
	mu        sync.Mutex
	listeners []func(GrantChange)
	cancel    context.CancelFunc
	// running counts the goroutines of the service.
	running sync.WaitGroup
}

// LocalState is the part of the payload that other parts of the daemon set.
type LocalState struct {
	TableRevision uint64
	Loads         []membership.Load
	Ledgers       []ident.Instance
}

// New returns a Service that does not run yet.
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
		changed: make(chan struct{}, 1), kick: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		records: shard.NewStringMap[ident.HostID, MemberRecord](recordShards),
	}
	s.owned.machine = ownership.New(cfg.Ownership, now)
	s.owned.maxDeadline = cfg.Ownership.MaxDeadline
	s.decide(func(*ownership.Machine, time.Time) {})
	mc := membership.DefaultConfig(cfg.Ownership.Self)
	mc.HasStopped = func(i ident.Instance) bool { return s.rights.Load().ended.Contains(i) }
	s.view.fixed = membership.Payload{
		PeerAddress: cfg.PeerAddress, CallerAddress: cfg.CallerAddress, DataCentre: cfg.Ownership.DataCentre,
	}
	s.view.members = membership.New(mc, s.view.payload(), now)
	s.changeView(func(*membership.View, time.Time) {})
	return s
}

// callTimeout bounds a call of the store. It leaves two attempts within the time to live of the lease.
func (s *Service) callTimeout() time.Duration { return s.cfg.Ownership.TTL * 5 / 18 }

func (s *Service) renewEvery() time.Duration { return s.cfg.Ownership.TTL / renewals }

func (s *Service) retryEvery() time.Duration { return s.cfg.Ownership.TTL / retries }

// Start runs the service until Close or Leave.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	for _, loop := range []func(context.Context){s.keepLease, s.watchOwners, s.watchMembers, s.steps, s.gossip, s.probes, s.notify} {
		s.running.Go(func() { loop(ctx) })
	}
}

// Close stops the service at once, as a crash would: the lease runs out by itself.
func (s *Service) Close() {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		s.running.Wait()
	}
}

// Leave hands over all cells, announces the departure and stops. It returns an error if ctx ends before the cells are
// handed over; they then lapse with the lease.
func (s *Service) Leave(ctx context.Context) error {
	defer s.Close()
	s.decide(func(m *ownership.Machine, _ time.Time) { m.SetLeaving() })
	s.changeView(func(v *membership.View, now time.Time) { v.SetDeparture(membership.Leaving, now) })
	err := s.awaitReleased(ctx)
	if err != nil {
		s.counters.leaveExpiry.Add(1)
	}
	// Others take the announcement as proof that this host uses no cell any more.
	s.decide(func(m *ownership.Machine, _ time.Time) { m.Abandon() })
	s.changeView(func(v *membership.View, now time.Time) { v.SetDeparture(membership.Left, now) })
	// The announcement and the revocation must go out even if ctx has ended.
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.callTimeout())
	defer cancel()
	s.exchangeRound(last, true)
	s.unregister(last)
	return err
}

func (s *Service) awaitReleased(ctx context.Context) error {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for {
		var held []ident.CellID
		s.consult(func(m *ownership.Machine, _ time.Time) { held = m.HeldCells() })
		if len(held) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("leave: cells %v not handed over: %w", held, ctx.Err())
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// random returns a generator for one goroutine. Each has a sequence of its own, so that no lock is needed.
func (s *Service) random() *rand.Rand {
	return rand.New(rand.NewPCG(s.cfg.Seed, s.draws.Add(1)))
}

// SetLocalState replaces the part of the payload that the rest of the daemon knows.
func (s *Service) SetLocalState(l LocalState) {
	c := s.contact()
	s.changeView(func(v *membership.View, now time.Time) {
		s.view.local = l
		s.view.take(c)
		v.SetPayload(s.view.payload(), now)
		v.SetLoads(l.Loads)
	})
}

// SetHostList takes the hosts that the platform lists. A host that was listed and is no longer has stopped.
func (s *Service) SetHostList(hosts []ident.HostID) {
	dropped := s.hosts.replace(hosts)
	s.decide(func(m *ownership.Machine, now time.Time) {
		for _, i := range m.KnownInstances() {
			if dropped[i.Host] {
				m.InstanceStopped(i, s.cfg.Ownership.MaxDeadline, now)
			}
		}
	})
}

// Counts returns the calls and events so far.
func (s *Service) Counts() Counts {
	c := &s.counters
	return Counts{
		StoreCalls: c.storeCalls.Load(), StoreErrors: c.storeErrors.Load(),
		Exchanges: c.exchanges.Load(), ExchangeErrors: c.exchangeErrors.Load(),
		Probes: c.probes.Load(), ProbeErrors: c.probeErrors.Load(),
		Claims: c.claims.Load(), Losses: c.losses.Load(), Fences: c.fences.Load(),
		WatchRestarts: c.watchRestarts.Load(), LeaveTimeouts: c.leaveExpiry.Load(),
	}
}
