package ownership

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// aloneFor bounds the time that a host without other members trusts that nobody can join without it.
const aloneFor = 100 * 365 * 24 * time.Hour

// Machine decides for one host. It is not safe for concurrent use. It does no I/O: Step returns the actions to
// perform, and their results are passed back in.
type Machine struct {
	cfg     Config
	started time.Time

	lease     store.LeaseID
	fullUntil time.Time

	contacts     uint64
	lastContact  time.Time
	contactSince time.Time

	peers   map[ident.Instance]*peer
	stopped map[ident.HostID]ident.Incarnation
	// presumed holds the instances in stopped for which there is no proof but the absence of a lease.
	presumed    map[ident.Instance]struct{}
	digest      uint64
	established bool
	candidate   bool
	// registered says that the roster has been read with this host in it.
	registered bool
	// blind says that a member stopped that may have acknowledged a member unknown to this host.
	blind      bool
	blindSince time.Time

	members []Member
	// ranks holds the results of Rank for the members.
	ranks     map[ident.CellID][]Member
	firstSeen map[ident.Instance]time.Time
	views     map[ident.CellID]*view
	held      map[ident.CellID]*held
	leaving   bool
	// abandoned says that the host uses no cell any more, whatever the records say.
	abandoned bool
}

// view is what the host has read about a cell in the store.
type view struct {
	cell Cell
	// current is the leased record; epoch is 0 if there is none.
	current Record
	epoch   ident.Epoch
	lease   store.LeaseID
	// last is the lasting record, lastMod its revision.
	last    Record
	lastMod store.Revision
	// mod is the revision of the store that current reflects.
	mod store.Revision
	// prior is the lasting record that the claim on its way, or the last one, replaced.
	prior Record
	// absentSince is when the leased record was first seen to be absent.
	absentSince time.Time
	// pending is set while a transaction on the cell is on its way.
	pending bool
	// fenced is the highest epoch of another owner to which this host has given way.
	fenced ident.Epoch
}

// held is a cell that this host owns.
type held struct {
	epoch ident.Epoch
	lease store.LeaseID
	rec   Record
	// busy says until when a part freed by a confirmed predecessor may still be in use.
	busy map[ident.Instance]time.Time
	// from is when the authority begins, slotsFrom when target slots may be used.
	from      time.Time
	slotsFrom time.Time
	// handOver is set while the cell drains, released once it has drained.
	handOver bool
	released bool
}

// New returns the Machine of a host that starts at now.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:       cfg,
		started:   now,
		peers:     make(map[ident.Instance]*peer),
		stopped:   make(map[ident.HostID]ident.Incarnation),
		presumed:  make(map[ident.Instance]struct{}),
		ranks:     make(map[ident.CellID][]Member),
		firstSeen: make(map[ident.Instance]time.Time),
		views:     make(map[ident.CellID]*view),
		held:      make(map[ident.CellID]*held),
		// Until it has read the roster, a host does not know who may claim.
		blind: true,
	}
	for _, c := range cfg.Cells {
		m.views[c.ID] = &view{cell: c, absentSince: now}
	}
	return m
}

// StoreAnswered notes an answer of the store received at now.
func (m *Machine) StoreAnswered(now time.Time) {
	if m.contacts == 0 || now.Sub(m.lastContact) >= m.cfg.ContactTimeout {
		m.contactSince = now
	}
	m.contacts++
	m.lastContact = now
}

// LeaseRenewed notes that the lease was granted or renewed by a call that started at start.
func (m *Machine) LeaseRenewed(id store.LeaseID, start time.Time) {
	m.lease = id
	m.fullUntil = start.Add(m.cfg.TTL - m.cfg.Margin)
}

// LeaseLost notes that the store no longer has the lease. Cells held under it stay in doubt until they are claimed
// again.
func (m *Machine) LeaseLost() {
	m.lease = 0
	m.fullUntil = time.Time{}
}

// Lease returns the current lease; 0 if there is none.
func (m *Machine) Lease() store.LeaseID {
	return m.lease
}

// SetMembers takes the leased member records, in a fixed order.
func (m *Machine) SetMembers(members []Member, now time.Time) {
	seen := make(map[ident.Instance]time.Time, len(members))
	for _, member := range members {
		at, ok := m.firstSeen[member.Instance]
		if !ok {
			at = now
		}
		seen[member.Instance] = at
	}
	m.firstSeen = seen
	m.noteLeased(now)
	if !slices.Equal(m.members, members) {
		m.members = slices.Clone(members)
		clear(m.ranks)
	}
}

// rank returns the members that may own the cell, most preferred first.
func (m *Machine) rank(c Cell) []Member {
	ranked, ok := m.ranks[c.ID]
	if !ok {
		ranked = Rank(c, m.members)
		m.ranks[c.ID] = ranked
	}
	return ranked
}

// SetLeaving makes the host hand over all its cells and claim no others.
func (m *Machine) SetLeaving() {
	m.leaving = true
}

// Abandon gives up all cells for good, released or not, before the host tells others that it has stopped.
func (m *Machine) Abandon() {
	m.leaving, m.abandoned = true, true
	clear(m.held)
}

// LeasedRecord is a leased ownership record as read from the store.
type LeasedRecord struct {
	Record Record
	Epoch  ident.Epoch
	Lease  store.LeaseID
}

// SetOwner takes the leased record of a cell, nil if there is none, as of revision mod of the store. Older news than
// what is known already is ignored.
func (m *Machine) SetOwner(id ident.CellID, l *LeasedRecord, mod store.Revision, now time.Time) {
	v, ok := m.views[id]
	if !ok || mod < v.mod {
		return
	}
	v.mod = mod
	if l == nil {
		m.ownerGone(v, mod, now)
		return
	}
	v.current, v.epoch, v.lease = l.Record, l.Epoch, l.Lease
	if l.Record.Holder != m.cfg.Self {
		m.giveWay(id, l.Epoch)
		return
	}
	m.adopt(v, now)
}

func (m *Machine) ownerGone(v *view, mod store.Revision, now time.Time) {
	if v.epoch != 0 {
		v.absentSince = now
	}
	v.current, v.epoch, v.lease = Record{}, 0, 0
	if h, ok := m.held[v.cell.ID]; ok && mod > store.Revision(h.epoch) {
		// The record is gone, so renewals of the lease no longer protect the cell.
		h.lease = 0
	}
}

// SetLastingRecord takes the lasting record of a cell and its revision.
func (m *Machine) SetLastingRecord(id ident.CellID, r Record, mod store.Revision) {
	v, ok := m.views[id]
	if !ok || mod < v.lastMod {
		return
	}
	v.last, v.lastMod = r, mod
	if r.Holder != m.cfg.Self {
		m.giveWay(id, ident.Epoch(mod))
	}
}

// giveWay drops the cell if it is held under a lower epoch than that of another owner.
func (m *Machine) giveWay(id ident.CellID, epoch ident.Epoch) {
	v := m.views[id]
	v.fenced = max(v.fenced, epoch)
	if h, ok := m.held[id]; ok && h.epoch < epoch {
		delete(m.held, id)
	}
}

// Fence takes the call of a successor and reports whether this host has given way. The caller still has to say for
// how long requests that are under way may hold slots.
func (m *Machine) Fence(id ident.CellID, epoch ident.Epoch) bool {
	if _, ok := m.views[id]; !ok {
		return false
	}
	if h, ok := m.held[id]; ok && h.epoch >= epoch {
		return false
	}
	m.giveWay(id, epoch)
	return true
}

// PredecessorConfirmed takes the answer of a predecessor that gave way in one cell; its requests may run for busyFor longer.
func (m *Machine) PredecessorConfirmed(id ident.CellID, i ident.Instance, busyFor time.Duration, now time.Time) {
	if h, ok := m.held[id]; ok {
		h.confirm(i, now.Add(busyFor))
	}
}

func (h *held) confirm(i ident.Instance, until time.Time) {
	if indexOf(h.rec.Unconfirmed, i) < 0 {
		return
	}
	if h.busy == nil {
		h.busy = make(map[ident.Instance]time.Time)
	}
	if old, ok := h.busy[i]; !ok || until.Before(old) {
		h.busy[i] = until
	}
}

// Holding is a held cell with all that is needed to tell the grant at any time until something new is heard.
type Holding struct {
	Cell       ident.CellID
	Epoch      ident.Epoch
	ShareShift uint8
	From       time.Time
	SlotsFrom  time.Time
	FullUntil  time.Time
}

// Grant returns the right at now.
func (h Holding) Grant(now time.Time) Grant {
	if h.Epoch == 0 || now.Before(h.From) {
		return Grant{Cell: h.Cell}
	}
	g := Grant{Cell: h.Cell, Epoch: h.Epoch, Authority: Full, ShareShift: h.ShareShift, SlotsFrom: h.SlotsFrom}
	if !now.Before(h.FullUntil) {
		g.Authority = InDoubt
		g.DoubtSince = h.FullUntil
		g.ShareShift = halved(h.ShareShift)
	}
	return g
}

// Holding returns what this host holds of a cell; Epoch is 0 if it holds nothing.
func (m *Machine) Holding(id ident.CellID) Holding {
	h, ok := m.held[id]
	if !ok || h.released {
		return Holding{Cell: id}
	}
	return Holding{
		Cell: id, Epoch: h.epoch, ShareShift: h.rec.ShareShift, From: h.from, SlotsFrom: h.slotsFrom, FullUntil: m.FullUntil(id),
	}
}

// Grant returns the right of this host in a cell.
func (m *Machine) Grant(id ident.CellID, now time.Time) Grant {
	return m.Holding(id).Grant(now)
}

// FullUntil returns until when the authority in a held cell is Full unless something new is heard.
func (m *Machine) FullUntil(id ident.CellID) time.Time {
	h, ok := m.held[id]
	if !ok || h.lease != m.lease || m.lease == 0 {
		return time.Time{}
	}
	if quiet := m.quietUntil(); quiet.After(m.fullUntil) {
		return quiet
	}
	return m.fullUntil
}

// HeldCells returns the cells whose records in the store name this host, in order, including drained cells whose release has
// not applied yet.
func (m *Machine) HeldCells() []ident.CellID {
	ids := make([]ident.CellID, 0, len(m.held))
	for id := range m.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Owner returns the holder of a cell as last read from the store.
func (m *Machine) Owner(id ident.CellID) (ident.Instance, ident.Epoch, bool) {
	v, ok := m.views[id]
	if !ok || v.epoch == 0 {
		return ident.Instance{}, 0, false
	}
	return v.current.Holder, v.epoch, true
}
