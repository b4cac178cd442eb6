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
// messages, drifting clocks and injected faults, and checks the invariants after each step.

const (
	simTick     = 200 * time.Millisecond
	simDeadline = 5 * time.Second
	simCall     = 2 * time.Second
)

type event struct {
	at time.Time
	n  int
	f  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	// jobsOnly gives the hosts the times of hosts that run jobs only, and checks what those rely on.
	jobsOnly bool
	r        *rand.Rand
	now      time.Time
	start    time.Time
	events   queue
	n        int
	store    *kv.Engine
	hosts    []*simHost
	cells    []Cell
	// cutStore, cutPeers and slow hold the faults in force.
	cutStore map[ident.HostID]int
	cutPeers map[[2]ident.HostID]int
	slow     int
	lossy    int
	dead     []*process
	epochs   map[ident.CellID]ident.Epoch
	fault    string
}

// simHost is a host on which processes run one after the other.
type simHost struct {
	id   ident.HostID
	dc   ident.DataCentre
	proc *process
	next ident.Incarnation
	// listed is whether the host list names the host.
	listed bool
}

type process struct {
	s       *sim
	host    *simHost
	self    ident.Instance
	m       *Machine
	running bool
	paused  bool
	inbox   []func()
	rate    float64
	// used holds when each share of a cell was last usable, because requests hold slots until their deadline.
	used    map[ident.CellID]map[uint8]time.Time
	leasing bool
	rostered,
	registered bool
	tombs map[ident.Instance]bool
}

func newSim(seed uint64, hosts, dcs, cells int) *sim {
	s := &sim{
		r: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1e9, 0), now: time.Unix(1e9, 0),
		cutStore: map[ident.HostID]int{}, cutPeers: map[[2]ident.HostID]int{}, epochs: map[ident.CellID]ident.Epoch{},
	}
	s.store = kv.New(kv.Config{Now: func() time.Time { return s.now }, NoTimer: true, WritesPerSecond: -1, ReadsPerSecond: -1})
	for i := range cells {
		s.cells = append(s.cells, Cell{ident.CellID(i), ident.DataCentre(fmt.Sprint("dc", i%dcs))})
	}
	for i := range hosts {
		h := &simHost{id: ident.HostID(fmt.Sprint("h", i)), dc: ident.DataCentre(fmt.Sprint("dc", i%dcs)), next: 1}
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.n++
	heap.Push(&s.events, event{s.now.Add(d), s.n, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.fault == "" {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(s.start) > until {
			heap.Push(&s.events, e)
			break
		}
		s.now = e.at
		s.store.Expire()
		e.f()
	}
	s.now = s.start.Add(until)
}

func (s *sim) launch(h *simHost) {
	h.listed = true
	p := &process{
		s: s, host: h, self: ident.Instance{Host: h.id, Incarnation: h.next}, running: true,
		rate: 1 + (s.r.Float64()-0.5)*2e-4, used: map[ident.CellID]map[uint8]time.Time{}, tombs: map[ident.Instance]bool{},
	}
	h.next++
	h.proc = p
	cfg := DefaultConfig()
	cfg.MaxDeadline = simDeadline
	if s.jobsOnly {
		cfg = ConfigForTTL(cfg.TTL)
	}
	cfg.Self, cfg.DataCentre, cfg.Cells = p.self, h.dc, s.cells
	p.m = New(cfg, p.clock())
	p.every(simTick, p.step)
	p.every(3*time.Second, p.renew)
	p.every(400*time.Millisecond, p.read)
	p.every(500*time.Millisecond, p.gossip)
}

func (s *sim) kill(h *simHost) {
	if h.proc != nil {
		h.proc.running = false
		s.dead = append(s.dead, h.proc)
		h.proc = nil
	}
}

// clock is the process's own clock, which has an offset and drifts.
func (p *process) clock() time.Time {
	d := p.s.now.Sub(p.s.start)
	return p.s.start.Add(time.Duration(float64(d) * p.rate)).Add(time.Duration(p.self.Incarnation) * time.Hour)
}

// do runs f on the process, later if it is paused, never if it is dead.
func (p *process) do(f func()) {
	switch {
	case !p.running:
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
		if !p.running {
			return
		}
		if !p.paused {
			f()
			p.s.check()
		}
		p.s.after(d, loop)
	}
	p.s.after(time.Duration(p.s.r.Int64N(int64(d))), loop)
}

func (s *sim) latency() time.Duration {
	d := time.Duration(s.r.Int64N(int64(20 * time.Millisecond)))
	if s.slow > 0 && s.r.IntN(3) == 0 {
		d += time.Duration(s.r.Int64N(int64(5 * time.Second)))
	}
	return d
}

// call runs effect at the store and then answer on the process, or timeout if the answer is lost.
func (p *process) call(effect func() func(), timeout func()) {
	done := false
	p.s.after(simCall, func() {
		p.do(func() {
			if !done {
				done = true
				timeout()
			}
		})
	})
	lost := p.s.lossy > 0 && p.s.r.IntN(3) == 0
	if p.s.cutStore[p.host.id] > 0 || lost && p.s.r.IntN(2) == 0 {
		return
	}
	p.s.after(p.s.latency(), func() {
		answer := effect()
		if answer == nil || lost || p.s.cutStore[p.host.id] > 0 {
			return
		}
		p.s.after(p.s.latency(), func() {
			p.do(func() {
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

func (p *process) renew() {
	if p.leasing {
		return
	}
	p.leasing = true
	start, id := p.clock(), p.m.Lease()
	p.call(func() func() {
		if id == 0 {
			granted, err := p.s.store.Grant(simCtx, 9*time.Second)
			if err != nil {
				return nil
			}
			return func() {
				p.leasing, p.registered = false, false
				p.m.LeaseRenewed(granted, start)
			}
		}
		ok, err := p.s.store.KeepAlive(simCtx, id)
		if err != nil {
			return nil
		}
		return func() {
			p.leasing = false
			if ok {
				p.m.LeaseRenewed(id, start)
				return
			}
			p.m.LeaseLost()
			p.renew()
		}
	}, func() { p.leasing = false })
}

func encode(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}

// read registers the host where needed and reads all records, as a watch with a lag would deliver them.
func (p *process) read() {
	start := p.clock()
	if lease := p.m.Lease(); lease != 0 && !p.registered {
		member := encode(Member{Instance: p.self, DataCentre: p.host.dc})
		ops := []store.Op{{Key: "/member/" + string(p.host.id), Value: member, Lease: lease}}
		if !p.rostered {
			ops = append(ops, store.Op{Key: "/roster/" + string(p.host.id), Value: encode(p.self)})
		}
		p.call(func() func() {
			if r, _ := p.s.store.Txn(simCtx, nil, ops); r.Outcome != store.Applied {
				return nil
			}
			return func() { p.rostered, p.registered = true, true }
		}, func() {})
	}
	p.call(func() func() {
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
	if p.rostered {
		p.m.SetRoster(roster, start, p.clock())
	}
}

func (p *process) step() {
	for _, a := range p.m.Step(p.clock()) {
		switch a.Kind {
		case HandOver:
			p.s.after(time.Second, func() {
				p.do(func() {
					p.m.CellDrained(a.Cell, a.Epoch)
					if p.m.Grant(a.Cell, p.clock()).Authority == None {
						delete(p.used, a.Cell)
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
	p.call(func() func() {
		r, err := p.s.store.Txn(simCtx, compares, ops)
		if err != nil && r.Outcome != store.NotApplied {
			return nil
		}
		if a.Kind == Claim && r.Outcome == store.Applied {
			if epoch := ident.Epoch(r.Revision); epoch <= p.s.epochs[a.Cell] {
				p.s.fault = fmt.Sprintf("epoch %d of cell %d after %d", epoch, a.Cell, p.s.epochs[a.Cell])
			} else {
				p.s.epochs[a.Cell] = epoch
			}
		}
		return func() { p.m.TransactionDone(a, r.Outcome, r.Revision, p.clock()) }
	}, func() { p.m.TransactionDone(a, store.Unknown, 0, p.clock()) })
}

// ask sends a message to the process that runs on a host now; answer runs on p with what the receiver returned.
func (p *process) ask(to *simHost, receive func(q *process) func()) {
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
		q.do(func() {
			answer := receive(q)
			if !cut() {
				s.after(s.latency(), func() { p.do(answer) })
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
		tombs := p.tombList()
		p.ask(h, func(q *process) func() {
			q.hear(known, tombs)
			report, qKnown, qTombs := q.m.OwnReport(q.clock()), q.m.KnownInstances(), q.tombList()
			return func() {
				p.hear(qKnown, qTombs)
				p.m.ReportReceived(report, sent, p.clock())
			}
		})
		if !h.listed {
			for _, i := range p.m.KnownInstances() {
				if i.Host == h.id {
					p.stop(i)
				}
			}
		}
	}
}

func (p *process) tombList() []ident.Instance {
	var out []ident.Instance
	for i := range p.tombs {
		out = append(out, i)
	}
	slices.SortFunc(out, compareInstances)
	return out
}

func (p *process) stop(i ident.Instance) {
	if i != p.self {
		p.tombs[i] = true
		p.m.InstanceStopped(i, simDeadline, p.clock())
	}
}

func (p *process) hear(known, tombs []ident.Instance) {
	for _, i := range tombs {
		p.stop(i)
	}
	for _, i := range known {
		for _, j := range p.m.KnownInstances() {
			if j.Host == i.Host && j.Incarnation < i.Incarnation {
				p.stop(j)
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
		p.ask(h, func(q *process) func() {
			if q.self == a.Target && !q.m.Fence(a.Cell, a.Epoch) {
				return func() {}
			}
			at := q.self
			return func() {
				if at == a.Target {
					p.m.PredecessorConfirmed(a.Cell, at, simDeadline, p.clock())
				} else if at.Incarnation > a.Target.Incarnation {
					p.stop(a.Target)
				}
			}
		})
	}
}

// check verifies that at most one process has full authority in a cell and that the shares in use, including those
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
			}
			sum += p.use(c.ID, g)
		}
		for _, p := range s.dead {
			sum += p.use(c.ID, Grant{})
		}
		if s.jobsOnly {
			if full > 1 || s.renewing(c.ID) > 1 {
				s.fault = fmt.Sprintf("cell %d at %s: %d full, %d renew:%s", c.ID, s.now.Sub(s.start), full, s.renewing(c.ID), s.describe(c.ID))
			}
			continue
		}
		if full > 1 || sum > units(0) {
			s.fault = fmt.Sprintf("cell %d at %s: %d full, %.3f in use:%s", c.ID, s.now.Sub(s.start), full,
				float64(sum)/float64(units(0)), s.describe(c.ID))
		}
	}
}

// renewing returns how many hosts renew the leases of tasks of a cell, if one of them takes all others for stopped; otherwise
// 0, because it waits for the others.
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

// use notes the current grant and returns the largest share used within the deadline of a request.
func (p *process) use(id ident.CellID, g Grant) int64 {
	used, ok := p.used[id]
	if !ok {
		used = map[uint8]time.Time{}
		p.used[id] = used
	}
	if !p.paused && g.Authority != None && !p.clock().Before(g.SlotsFrom) {
		used[g.ShareShift] = p.s.now
	}
	var most int64
	for shift, at := range used {
		if p.s.now.Sub(at) < simDeadline {
			most = max(most, units(shift))
		}
	}
	return most
}

// settled returns what keeps the cells from having exactly one full owner each.
func (s *sim) settled() string {
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
