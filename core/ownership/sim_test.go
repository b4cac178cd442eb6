package ownership

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// The simulation runs the machines of several hosts against the stand-in store with delayed, lost and reordered
// messages, drifting clocks and injected faults. It checks the invariants after each step.

const (
	simStepInterval    = 200 * time.Millisecond
	simRequestDeadline = 5 * time.Second
	simCallTimeout     = 2 * time.Second
)

type simEvent struct {
	at     time.Time
	seq    int
	action func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	// jobsOnly configures the hosts for running jobs only and checks the invariants that those rely on.
	jobsOnly bool
	rng      *rand.Rand
	now      time.Time
	start    time.Time
	events   eventQueue
	eventSeq int
	store    *kv.Engine
	hosts    []*simHost
	cells    []Cell
	// cutStore, cutPeers, slow and lossy count the faults in force.
	cutStore  map[ident.HostID]int
	cutPeers  map[[2]ident.HostID]int
	slow      int
	lossy     int
	killed    []*process
	epochs    map[ident.CellID]ident.Epoch
	claims    map[ident.CellID][]claim
	violation string
}

// simHost is a host on which processes run one after the other.
type simHost struct {
	id              ident.HostID
	dc              ident.DataCentre
	proc            *process
	nextIncarnation ident.Incarnation
	// listed is set while the host list contains the host.
	listed bool
}

type process struct {
	s         *sim
	host      *simHost
	self      ident.Instance
	m         *Machine
	alive     bool
	paused    bool
	inbox     []func()
	clockRate float64
	// lastUsed holds when each share of a cell was last usable. Requests hold their slots until their deadline.
	lastUsed         map[ident.CellID]map[uint8]time.Time
	leaseCallPending bool
	inRoster,
	registered bool
	tombstones map[ident.Instance]bool
}

func newSim(seed uint64, hosts, dcs, cells int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1e9, 0), now: time.Unix(1e9, 0),
		cutStore: map[ident.HostID]int{}, cutPeers: map[[2]ident.HostID]int{}, epochs: map[ident.CellID]ident.Epoch{},
		claims: map[ident.CellID][]claim{},
	}
	s.store = kv.New(kv.Config{Now: func() time.Time { return s.now }, NoExpiryTimer: true, WritesPerSecond: -1, ReadsPerSecond: -1})
	for i := range cells {
		s.cells = append(s.cells, Cell{ident.CellID(i), ident.DataCentre(fmt.Sprint("dc", i%dcs))})
	}
	for i := range hosts {
		h := &simHost{id: ident.HostID(fmt.Sprint("h", i)), dc: ident.DataCentre(fmt.Sprint("dc", i%dcs)), nextIncarnation: 1}
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.eventSeq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.eventSeq, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.violation == "" {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.Sub(s.start) > until {
			heap.Push(&s.events, e)
			break
		}
		s.now = e.at
		s.store.Expire()
		e.action()
	}
	s.now = s.start.Add(until)
}

func (s *sim) launch(h *simHost) {
	h.listed = true
	p := &process{
		s: s, host: h, self: ident.Instance{Host: h.id, Incarnation: h.nextIncarnation}, alive: true,
		clockRate: 1 + (s.rng.Float64()-0.5)*2e-4, lastUsed: map[ident.CellID]map[uint8]time.Time{}, tombstones: map[ident.Instance]bool{},
	}
	h.nextIncarnation++
	h.proc = p
	cfg := DefaultConfig()
	cfg.MaxDeadline = simRequestDeadline
	if s.jobsOnly {
		cfg = ConfigForTTL(cfg.TTL)
	}
	cfg.Self, cfg.DataCentre, cfg.Cells = p.self, h.dc, s.cells
	p.m = New(cfg, p.clock())
	p.every(simStepInterval, p.step)
	p.every(3*time.Second, p.renewLease)
	p.every(400*time.Millisecond, p.readStore)
	p.every(500*time.Millisecond, p.gossip)
	p.every(5*time.Second, p.confirmReach)
}

func (s *sim) kill(h *simHost) {
	if h.proc != nil {
		h.proc.alive = false
		s.killed = append(s.killed, h.proc)
		h.proc = nil
	}
}

// clock returns the time of the process's own clock, which has an offset and drifts.
func (p *process) clock() time.Time {
	d := p.s.now.Sub(p.s.start)
	return p.s.start.Add(time.Duration(float64(d) * p.clockRate)).Add(time.Duration(p.self.Incarnation) * time.Hour)
}

// deliver runs f on the process: later if the process is paused, never if it was killed.
func (p *process) deliver(f func()) {
	switch {
	case !p.alive:
	case p.paused:
		p.inbox = append(p.inbox, f)
	default:
		f()
		p.s.check()
	}
}

func (p *process) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		if !p.alive {
			return
		}
		if !p.paused {
			f()
			p.s.check()
		}
		p.s.after(d, loop)
	}
	p.s.after(time.Duration(p.s.rng.Int64N(int64(d))), loop)
}

func (s *sim) latency() time.Duration {
	d := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
	if s.slow > 0 && s.rng.IntN(3) == 0 {
		d += time.Duration(s.rng.Int64N(int64(5 * time.Second)))
	}
	return d
}

// callStore runs effect at the store and then the returned answer on the process, or timeout if the answer is lost.
func (p *process) callStore(effect func() func(), timeout func()) {
	done := false
	p.s.after(simCallTimeout, func() {
		p.deliver(func() {
			if !done {
				done = true
				timeout()
			}
		})
	})
	lost := p.s.lossy > 0 && p.s.rng.IntN(3) == 0
	if p.s.cutStore[p.host.id] > 0 || lost && p.s.rng.IntN(2) == 0 {
		return
	}
	p.s.after(p.s.latency(), func() {
		answer := effect()
		if answer == nil || lost || p.s.cutStore[p.host.id] > 0 {
			return
		}
		p.s.after(p.s.latency(), func() {
			p.deliver(func() {
				if !done {
					done = true
					p.m.StoreAnswered(p.clock())
					answer()
				}
			})
		})
	})
}

var simCtx = context.Background()

func (p *process) renewLease() {
	if p.leaseCallPending {
		return
	}
	p.leaseCallPending = true
	start, id := p.clock(), p.m.Lease()
	p.callStore(func() func() {
		if id == 0 {
			granted, err := p.s.store.Grant(simCtx, 9*time.Second)
			if err != nil {
				return nil
			}
			return func() {
				p.leaseCallPending, p.registered = false, false
				p.m.LeaseRenewed(granted, start)
			}
		}
		ok, err := p.s.store.KeepAlive(simCtx, id)
		if err != nil {
			return nil
		}
		return func() {
			p.leaseCallPending = false
			if ok {
				p.m.LeaseRenewed(id, start)
				return
			}
			p.m.LeaseLost()
			p.renewLease()
		}
	}, func() { p.leaseCallPending = false })
}

func encode(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// readStore registers the host if needed and reads all records, as a lagging watch would deliver them.
func (p *process) readStore() {
	start := p.clock()
	if lease := p.m.Lease(); lease != 0 && !p.registered {
		member := encode(Member{Instance: p.self, DataCentre: p.host.dc})
		ops := []store.Op{{Key: "/member/" + string(p.host.id), Value: member, Lease: lease}}
		if !p.inRoster {
			ops = append(ops, store.Op{Key: "/roster/" + string(p.host.id), Value: encode(p.self)})
		}
		p.callStore(func() func() {
			if r, _ := p.s.store.Txn(simCtx, nil, ops); r.Outcome != store.Applied {
				return nil
			}
			return func() { p.inRoster, p.registered = true, true }
		}, func() {})
	}
	p.callStore(func() func() {
		r, err := p.s.store.Range(simCtx, "/")
		if err != nil {
			return nil
		}
		return func() { p.apply(r, start) }
	}, func() {})
}

func (p *process) apply(r store.RangeResult, start time.Time) {
	var (
		members []Member
		roster  []RosterEntry
		owners  = map[ident.CellID]*LeasedRecord{}
	)
	for _, e := range r.Entries {
		kind, id, _ := strings.Cut(e.Key[1:], "/")
		var cell ident.CellID
		_, _ = fmt.Sscan(id, &cell)
		switch kind {
		case "member":
			var m Member
			_ = json.Unmarshal(e.Value, &m)
			members = append(members, m)
		case "roster":
			entry := RosterEntry{Order: int64(e.ModRevision)}
			_ = json.Unmarshal(e.Value, &entry.Instance)
			roster = append(roster, entry)
		case "last":
			var rec Record
			_ = json.Unmarshal(e.Value, &rec)
			p.m.SetLastingRecord(cell, rec, e.ModRevision)
		case "own":
			l := &LeasedRecord{Epoch: ident.Epoch(e.CreateRevision), Lease: e.Lease}
			_ = json.Unmarshal(e.Value, &l.Record)
			owners[cell] = l
		}
	}
	p.m.SetMembers(members, p.clock())
	for _, c := range p.s.cells {
		p.m.SetOwner(c.ID, owners[c.ID], r.Revision, p.clock())
	}
	if p.inRoster {
		p.m.SetRoster(roster, start, p.clock())
	}
}

// handOverToOther names another member as the successor of each cell that the process holds.
func (p *process) handOverToOther() {
	if p == nil {
		return
	}
	p.deliver(func() {
		for _, c := range p.s.cells {
			candidates := p.m.Candidates(c.ID)
			if h := p.m.Holding(c.ID); h.Epoch != 0 && len(candidates) > 0 {
				p.m.HandOverTo(c.ID, h.Epoch, candidates[p.s.rng.IntN(len(candidates))])
			}
		}
	})
}

// confirmReach confirms the reach of the preferred members of cells gained by reach.
func (p *process) confirmReach() {
	for _, c := range p.s.cells {
		if host, ok := p.m.PreferredOver(c.ID); ok {
			p.m.ConfirmReach(c.ID, host)
		}
	}
}

func (p *process) step() {
	for _, a := range p.m.Step(p.clock()) {
		switch a.Kind {
		case HandOver:
			p.s.after(time.Second, func() {
				p.deliver(func() {
					p.m.CellDrained(a.Cell, a.Epoch)
					if p.m.Grant(a.Cell, p.clock()).Authority == None {
						delete(p.lastUsed, a.Cell)
					}
				})
			})
		case FencePredecessor:
			p.fence(a)
		default:
			p.transact(a)
		}
	}
}

func (p *process) transact(a Action) {
	own, last := fmt.Sprint("/own/", a.Cell), fmt.Sprint("/last/", a.Cell)
	compares := []store.Compare{
		{Key: own, Field: store.FieldCreateRevision, Revision: store.Revision(a.Epoch)},
		{Key: last, Field: store.FieldModRevision, Revision: a.LastingRevision},
	}
	ops := []store.Op{
		{Key: own, Value: encode(a.Record), Lease: a.Lease, Delete: a.Kind == Release},
		{Key: last, Value: encode(a.Record)},
	}
	p.callStore(func() func() {
		r, err := p.s.store.Txn(simCtx, compares, ops)
		if err != nil && r.Outcome != store.NotApplied {
			return nil
		}
		if a.Kind == Claim && r.Outcome == store.Applied {
			if epoch := ident.Epoch(r.Revision); epoch <= p.s.epochs[a.Cell] {
				p.s.violation = fmt.Sprintf("epoch %d of cell %d follows epoch %d", epoch, a.Cell, p.s.epochs[a.Cell])
			} else {
				p.s.epochs[a.Cell] = epoch
				p.s.claims[a.Cell] = append(p.s.claims[a.Cell], claim{epoch, p.s.now})
			}
		}
		return func() { p.m.TransactionDone(a, r.Outcome, r.Revision, p.clock()) }
	}, func() { p.m.TransactionDone(a, store.Unknown, 0, p.clock()) })
}

// callPeer runs receive on the current process of a host, and then the answer that it returns on p.
func (p *process) callPeer(to *simHost, receive func(q *process) func()) {
	s := p.s
	cut := func() bool { return s.cutPeers[[2]ident.HostID{p.host.id, to.id}] > 0 }
	if cut() {
		return
	}
	s.after(s.latency(), func() {
		q := to.proc
		if q == nil || cut() {
			return
		}
		q.deliver(func() {
			answer := receive(q)
			if !cut() {
				s.after(s.latency(), func() { p.deliver(answer) })
			}
		})
	})
}

func (p *process) gossip() {
	for _, h := range p.s.hosts {
		if h == p.host {
			continue
		}
		sent := p.clock()
		known := p.m.KnownInstances()
		tombs := p.tombstoneList()
		p.callPeer(h, func(q *process) func() {
			q.receiveGossip(known, tombs)
			report, qKnown, qTombs := q.m.OwnReport(q.clock()), q.m.KnownInstances(), q.tombstoneList()
			return func() {
				p.receiveGossip(qKnown, qTombs)
				p.m.ReportReceived(report, sent, p.clock())
			}
		})
		if !h.listed {
			for _, i := range p.m.KnownInstances() {
				if i.Host == h.id {
					p.noteStopped(i)
				}
			}
		}
	}
}

func (p *process) tombstoneList() []ident.Instance {
	var out []ident.Instance
	for i := range p.tombstones {
		out = append(out, i)
	}
	slices.SortFunc(out, compareInstances)
	return out
}

func (p *process) noteStopped(i ident.Instance) {
	if i != p.self {
		p.tombstones[i] = true
		p.m.InstanceStopped(i, simRequestDeadline, p.clock())
	}
}

func (p *process) receiveGossip(known, tombs []ident.Instance) {
	for _, i := range tombs {
		p.noteStopped(i)
	}
	for _, i := range known {
		for _, j := range p.m.KnownInstances() {
			if j.Host == i.Host && j.Incarnation < i.Incarnation {
				p.noteStopped(j)
			}
		}
		p.m.AddInstances(i)
	}
}

func (p *process) fence(a Action) {
	for _, h := range p.s.hosts {
		if h.id != a.Target.Host {
			continue
		}
		p.callPeer(h, func(q *process) func() {
			if q.self == a.Target && !q.m.Fence(a.Cell, a.Epoch) {
				return func() {}
			}
			at := q.self
			return func() {
				if at == a.Target {
					p.m.PredecessorConfirmed(a.Cell, at, simRequestDeadline, p.clock())
				} else if at.Incarnation > a.Target.Incarnation {
					p.noteStopped(a.Target)
				}
			}
		})
	}
}

// check verifies that at most one process has full authority in a cell, and that the shares in use, including those
// whose requests may still hold slots, never exceed the cell.
func (s *sim) check() {
	for _, c := range s.cells {
		var (
			sum  int64
			full int
		)
		for _, h := range s.hosts {
			if h.proc == nil {
				continue
			}
			p := h.proc
			g := p.m.Grant(c.ID, p.clock())
			if g.Authority == Full && !p.paused {
				full++
				s.checkExclusive(p, g)
			}
			sum += p.shareInUse(c.ID, g)
		}
		for _, p := range s.killed {
			sum += p.shareInUse(c.ID, Grant{})
		}
		if s.jobsOnly {
			if full > 1 || s.renewing(c.ID) > 1 {
				s.violation = fmt.Sprintf("cell %d at %s: %d full owners, %d renewing:%s", c.ID, s.now.Sub(s.start), full, s.renewing(c.ID), s.describe(c.ID))
			}
			continue
		}
		if full > 1 || sum > units(0) {
			s.violation = fmt.Sprintf("cell %d at %s: %d full owners, %.3f of the cell in use:%s", c.ID, s.now.Sub(s.start), full,
				float64(sum)/float64(units(0)), s.describe(c.ID))
		}
	}
}

// renewing returns how many hosts renew the leases of tasks of a cell, if one of them counts all others as stopped. It
// returns 0 otherwise, because the owner then waits for the others.
func (s *sim) renewing(id ident.CellID) int {
	renewing, alone := 0, false
	for _, h := range s.hosts {
		if h.proc == nil || h.proc.paused {
			continue
		}
		p := h.proc
		now := p.clock()
		g := p.m.Grant(id, now)
		switch {
		case g.Authority == Full:
			renewing++
			alone = alone || g.ShareShift == 0
		case g.Authority == InDoubt && now.Before(g.DoubtSince.Add(p.m.cfg.DoubtLimit)):
			renewing++
		}
	}
	if !alone {
		return 0
	}
	return renewing
}

func (s *sim) describe(id ident.CellID) string {
	var out strings.Builder
	for _, h := range s.hosts {
		if p := h.proc; p != nil {
			g := p.m.Grant(id, p.clock())
			fmt.Fprintf(&out, " %s:%v/%d@%d(established %v)", p.self, g.Authority, g.ShareShift, g.Epoch, p.m.established)
		}
	}
	return out.String()
}

// shareInUse notes the current grant and returns the largest share used within the deadline of a request.
func (p *process) shareInUse(id ident.CellID, g Grant) int64 {
	used, ok := p.lastUsed[id]
	if !ok {
		used = map[uint8]time.Time{}
		p.lastUsed[id] = used
	}
	if !p.paused && g.Authority != None && !p.clock().Before(g.SlotsFrom) {
		used[g.ShareShift] = p.s.now
	}
	var most int64
	for shift, at := range used {
		if p.s.now.Sub(at) < simRequestDeadline {
			most = max(most, units(shift))
		}
	}
	return most
}

// unsettledCell describes the first cell that has not exactly one owner with full authority and the whole share; empty
// if all have one.
func (s *sim) unsettledCell() string {
	for _, c := range s.cells {
		full := 0
		for _, h := range s.hosts {
			if h.proc != nil {
				if g := h.proc.m.Grant(c.ID, h.proc.clock()); g.Authority == Full && g.ShareShift == 0 {
					full++
				}
			}
		}
		if full != 1 {
			return fmt.Sprintf("cell %d has %d owners with the whole cell after all faults healed", c.ID, full)
		}
	}
	return ""
}
