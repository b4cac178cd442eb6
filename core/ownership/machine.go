package ownership

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// soleMemberAuthority bounds how long a host without other members may rely on the fact that none can join without it.
const soleMemberAuthority = 100 * 365 * 24 * time.Hour

// Machine makes the ownership decisions of one host. It is not safe for concurrent use. It does no I/O: Step returns
// the actions to perform, and their results are passed back in.
type Machine struct {
	cfg     Config
	started time.Time
	// stepped is the time of the last Step.
	stepped time.Time

	lease store.LeaseID
	// fullUntil is until when the lease certainly exists.
	fullUntil time.Time

	// contacts counts the answers of the store. lastContact is the time of the last one, contactSince the time since
	// which no two of them were ContactTimeout or more apart.
	contacts     uint64
	lastContact  time.Time
	contactSince time.Time

	peers   map[ident.Instance]*peer
	stopped map[ident.HostID]ident.Incarnation
	// presumedStopped holds those instances in stopped that only lack a lease, without other proof.
	presumedStopped map[ident.Instance]struct{}
	cachedDigest    uint64
	established     bool
	candidate       bool
	// registered is set once the roster has been read with this host in it.
	registered bool
	// rosterStale is set until the roster has been read, and again after a member has stopped that may have acknowledged
	// a member unknown to this host.
	rosterStale      bool
	rosterStaleSince time.Time

	members []Member
	// ranks caches the results of Rank for members.
	ranks map[ident.CellID][]Member
	// leasedSince holds since when each member in members has had a leased record; nil until the records have been read.
	leasedSince map[ident.Instance]time.Time
	views       map[ident.CellID]*cellView
	held        map[ident.CellID]*heldCell
	leaving     bool
	// abandoned is set once the host uses no cell any more, whatever the records in the store say.
	abandoned bool
}

// cellView is the state of a cell as read from the store.
type cellView struct {
	cell Cell
	// current is the leased record; epoch is 0 if there is none.
	current      Record
	epoch        ident.Epoch
	currentLease store.LeaseID
	// lasting is the lasting record, lastingRevision its revision.
	lasting         Record
	lastingRevision store.Revision
	// revision is the store revision that current reflects.
	revision store.Revision
	// replaced is the lasting record before the latest claim of this host.
	replaced Record
	// absentSince is when the leased record was first found missing.
	absentSince time.Time
	// transactionPending is set while a transaction on the cell is in progress.
	transactionPending bool
	// yieldedTo is the highest epoch of another owner to which this host has yielded.
	yieldedTo ident.Epoch
}

// heldCell is a cell that this host owns.
type heldCell struct {
	epoch  ident.Epoch
	lease  store.LeaseID
	record Record
	// busyUntil says until when the share of a confirmed predecessor may still be in use.
	busyUntil map[ident.Instance]time.Time
	// authorityFrom is when the authority begins, slotsFrom when target slots may be used.
	authorityFrom time.Time
	slotsFrom     time.Time
	// draining is set from the decision to hand the cell over, drained once nothing runs in it any more.
	draining bool
	drained  bool
	// givenUp is set if the cell must be claimed anew because the work in it has ended.
	givenUp bool
	// successor is the instance to which the cell is handed; zero if the ranks decide.
	successor ident.Instance
	// reachConfirmed is the more preferred member that reaches the workers as well; zero if there is none.
	reachConfirmed ident.Instance
}

// New returns the Machine of a host that starts at now.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:             cfg,
		started:         now,
		peers:           make(map[ident.Instance]*peer),
		stopped:         make(map[ident.HostID]ident.Incarnation),
		presumedStopped: make(map[ident.Instance]struct{}),
		ranks:           make(map[ident.CellID][]Member),
		views:           make(map[ident.CellID]*cellView),
		held:            make(map[ident.CellID]*heldCell),
		// Until a host has read the roster, it does not know who may claim.
		rosterStale: true,
	}
	for _, c := range cfg.Cells {
		m.views[c.ID] = &cellView{cell: c, absentSince: now}
	}
	return m
}

// StoreAnswered notes that an answer of the store was received at now.
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

// LeaseLost notes that the store no longer has the lease. Cells held under it are in doubt until they are claimed
// again.
func (m *Machine) LeaseLost() {
	m.lease = 0
	m.fullUntil = time.Time{}
}

// Lease returns the current lease; 0 if there is none.
func (m *Machine) Lease() store.LeaseID {
	return m.lease
}

// SetMembers sets the leased member records as read from the store. The caller passes them in a fixed order.
func (m *Machine) SetMembers(members []Member, now time.Time) {
	leasedSince := make(map[ident.Instance]time.Time, len(members))
	for _, member := range members {
		at, ok := m.leasedSince[member.Instance]
		if !ok {
			at = now
		}
		leasedSince[member.Instance] = at
	}
	m.leasedSince = leasedSince
	m.updateLeased(now)
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

// Preference returns the position of this host among the members that may own the cell, 0 for the most preferred one;
// ranked is false if it has no leased record or is leaving.
func (m *Machine) Preference(id ident.CellID) (position int, ranked bool) {
	v, ok := m.views[id]
	if !ok {
		return 0, false
	}
	position = slices.IndexFunc(m.rank(v.cell), func(member Member) bool { return member.Instance == m.cfg.Self })
	return position, position >= 0
}

// SetLeaving makes the host hand over all its cells and claim no others.
func (m *Machine) SetLeaving() {
	m.leaving = true
}

// Abandon gives up all cells for good, released or not. It is called before the host tells others that it has stopped.
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

// SetOwner sets the leased record of a cell, nil if there is none, as of revision mod of the store. A record that is
// older than the known one is ignored.
func (m *Machine) SetOwner(id ident.CellID, l *LeasedRecord, mod store.Revision, now time.Time) {
	v, ok := m.views[id]
	if !ok || mod < v.revision {
		return
	}
	v.revision = mod
	if l == nil {
		m.ownerRecordGone(v, mod, now)
		return
	}
	v.current, v.epoch, v.currentLease = l.Record, l.Epoch, l.Lease
	if l.Record.Holder != m.cfg.Self {
		m.yield(id, l.Epoch)
		return
	}
	m.adopt(v, now)
}

func (m *Machine) ownerRecordGone(v *cellView, mod store.Revision, now time.Time) {
	if v.epoch != 0 {
		v.absentSince = now
	}
	v.current, v.epoch, v.currentLease = Record{}, 0, 0
	if h, ok := m.held[v.cell.ID]; ok && mod > store.Revision(h.epoch) {
		// Renewals of the lease no longer protect the cell, because the record is gone.
		h.lease = 0
		m.dropIfUnused(v.cell.ID, h)
	}
}

// dropIfUnused drops a drained cell whose leased record is gone: there is nothing left to release. A host that leaves could
// not announce that it uses no cell before another host has claimed this one.
func (m *Machine) dropIfUnused(id ident.CellID, h *heldCell) {
	if h.drained && m.views[id].epoch == 0 && h.lease == 0 {
		delete(m.held, id)
	}
}

// SetLastingRecord sets the lasting record of a cell and its revision.
func (m *Machine) SetLastingRecord(id ident.CellID, r Record, mod store.Revision) {
	v, ok := m.views[id]
	if !ok || mod < v.lastingRevision {
		return
	}
	v.lasting, v.lastingRevision = r, mod
	if r.Holder != m.cfg.Self {
		m.yield(id, ident.Epoch(mod))
	}
}

// yield drops the cell if it is held under a lower epoch than that of another owner.
func (m *Machine) yield(id ident.CellID, epoch ident.Epoch) {
	v := m.views[id]
	v.yieldedTo = max(v.yieldedTo, epoch)
	if h, ok := m.held[id]; ok && h.epoch < epoch {
		delete(m.held, id)
	}
}

// Fence handles the fencing call of a successor and reports whether this host has yielded. The caller must also answer
// for how long requests in progress may hold slots.
func (m *Machine) Fence(id ident.CellID, epoch ident.Epoch) bool {
	if _, ok := m.views[id]; !ok {
		return false
	}
	if h, ok := m.held[id]; ok && h.epoch >= epoch {
		return false
	}
	m.yield(id, epoch)
	return true
}

// PredecessorConfirmed notes that a predecessor has yielded a cell. Its requests may run for busyFor longer.
func (m *Machine) PredecessorConfirmed(id ident.CellID, i ident.Instance, busyFor time.Duration, now time.Time) {
	if h, ok := m.held[id]; ok {
		h.confirmStopped(i, now.Add(busyFor))
	}
}

func (h *heldCell) confirmStopped(i ident.Instance, until time.Time) {
	if predecessorIndex(h.record.Unconfirmed, i) < 0 {
		return
	}
	if h.busyUntil == nil {
		h.busyUntil = make(map[ident.Instance]time.Time)
	}
	if old, ok := h.busyUntil[i]; !ok || until.Before(old) {
		h.busyUntil[i] = until
	}
}

// Holding describes a held cell. It gives the grant at any time until the Machine receives something new.
type Holding struct {
	Cell       ident.CellID
	Epoch      ident.Epoch
	ShareShift uint8
	// From is when the authority begins, SlotsFrom when target slots may be used.
	From      time.Time
	SlotsFrom time.Time
	// FullUntil is when the authority changes from Full to InDoubt.
	FullUntil time.Time
	// LeaseUntil is until when the lease alone gives Full authority, and ReportedAt when the oldest of the reports was asked
	// for that give it after that.
	LeaseUntil, ReportedAt time.Time
}

// Grant returns the rights of this host at now.
func (h Holding) Grant(now time.Time) Grant {
	if h.Epoch == 0 || now.Before(h.From) {
		return Grant{Cell: h.Cell}
	}
	g := Grant{Cell: h.Cell, Epoch: h.Epoch, Authority: Full, ShareShift: h.ShareShift, SlotsFrom: h.SlotsFrom}
	if !now.Before(h.FullUntil) {
		g.Authority = InDoubt
		g.DoubtSince = h.FullUntil
		g.ShareShift = halved(h.ShareShift)
	} else if !now.Before(h.LeaseUntil) {
		g.ReportedAt = h.ReportedAt
	}
	return g
}

// Holding returns what this host holds of a cell; Epoch is 0 if it does not hold the cell.
func (m *Machine) Holding(id ident.CellID) Holding {
	h, ok := m.held[id]
	if !ok || h.drained {
		return Holding{Cell: id}
	}
	return Holding{
		Cell: id, Epoch: h.epoch, ShareShift: h.record.ShareShift, From: h.authorityFrom, SlotsFrom: h.slotsFrom, FullUntil: m.FullUntil(id),
		LeaseUntil: m.fullUntil, ReportedAt: m.oldestReport(),
	}
}

// Grant returns the rights of this host in a cell at now.
func (m *Machine) Grant(id ident.CellID, now time.Time) Grant {
	return m.Holding(id).Grant(now)
}

// FullUntil returns until when the authority in a held cell is Full if the Machine receives nothing new.
func (m *Machine) FullUntil(id ident.CellID) time.Time {
	h, ok := m.held[id]
	if !ok || h.lease != m.lease || m.lease == 0 {
		return time.Time{}
	}
	if provenUntil := m.noTakeoverUntil(); provenUntil.After(m.fullUntil) {
		return provenUntil
	}
	return m.fullUntil
}

// HeldCells returns the cells whose records in the store name this host, in order, including drained cells whose
// release has not been applied yet.
func (m *Machine) HeldCells() []ident.CellID {
	ids := make([]ident.CellID, 0, len(m.held))
	for id := range m.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Owner returns the holder of a cell as last read from the store; false if there is none.
func (m *Machine) Owner(id ident.CellID) (ident.Instance, ident.Epoch, bool) {
	v, ok := m.views[id]
	if !ok || v.epoch == 0 {
		return ident.Instance{}, 0, false
	}
	return v.current.Holder, v.epoch, true
}
