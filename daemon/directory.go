package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// memberDirectory looks up other hosts and the owners of cells in the cluster service.
type memberDirectory struct {
	self    ident.Instance
	cellMap cellmap.Map
	cluster *cluster.Service
	store   store.Store
	codec   cluster.Codec
}

// Owner implements cellDirectory. A host that started during an outage of the store has not read the owners; it uses
// the cells that members report by gossip. This may name a wrong owner, but a host that does not own the cell refuses
// the call with proof that it was not run, so that only time is lost.
func (m *memberDirectory) Owner(cell ident.CellID) (ident.Instance, string, bool) {
	if owner, address, ok := m.cluster.Owner(cell); ok {
		return owner, address, true
	}
	for _, member := range m.cluster.Members() {
		if member.Running() && member.Address != "" && reportsCell(member, cell) {
			return member.Instance, member.Address, true
		}
	}
	return ident.Instance{}, "", false
}

// reachesOwner reports whether this host owns a cell with full authority, or gossip shows the owner of the cell at work. A host
// that the store does not answer may know an owner that has lost the cell since, itself included.
func (m *memberDirectory) reachesOwner(cell ident.CellID) bool {
	owner, _, ok := m.Owner(cell)
	if owner == m.self {
		// An owner in doubt places no job, and may have a successor that this host does not reach.
		return m.cluster.Grant(cell).Authority == ownership.Full
	}
	return ok && slices.ContainsFunc(m.cluster.Members(), func(member cluster.Member) bool {
		return member.Instance == owner && !suspected(member) && reportsCell(member, cell)
	})
}

// runningMembers returns the number of hosts that are known to run.
func (m *memberDirectory) runningMembers() int {
	n := 0
	for _, member := range m.cluster.Members() {
		if member.Running() {
			n++
		}
	}
	return n
}

func reportsCell(member cluster.Member, cell ident.CellID) bool {
	return slices.ContainsFunc(member.Loads, func(l membership.Load) bool { return l.Cell == cell })
}

// LedgerHolders implements cellDirectory.
func (m *memberDirectory) LedgerHolders(issuer ident.Instance) []string {
	var own, adopted []string
	for _, member := range m.cluster.Members() {
		switch {
		case member.Address == "" || member.Departure == membership.Left:
		case member.Instance == issuer:
			own = append(own, member.Address)
		case slices.Contains(member.Payload.Ledgers, issuer):
			adopted = append(adopted, member.Address)
		}
	}
	return append(own, adopted...)
}

// Loads implements cellDirectory. It runs for each request, and therefore goes through the members once and not once
// for each cell.
func (m *memberDirectory) Loads() []routing.CellLoad {
	loads := make(map[ident.CellID]membership.Load)
	suspects := make(map[ident.Instance]bool)
	for _, member := range m.cluster.Members() {
		if suspected(member) {
			suspects[member.Instance] = true
		}
		for _, l := range member.Loads {
			if owner, _, ok := m.Owner(l.Cell); ok && owner == member.Instance {
				loads[l.Cell] = l
			}
		}
	}
	out := make([]routing.CellLoad, 0, m.cellMap.Cells())
	for i := range m.cellMap.Cells() {
		cell := ident.CellID(i)
		owner, _, owned := m.Owner(cell)
		l, known := loads[cell]
		out = append(out, routing.CellLoad{
			Cell:        cell,
			DataCentre:  m.cellMap.DataCentre(cell),
			Usable:      owned && !suspects[owner] && (!known || l.Capacity > 0),
			Waiting:     int(l.Queued),
			Outstanding: int(l.Outstanding),
			Capacity:    int(l.Capacity),
			Latency:     time.Duration(l.LatencyUs) * time.Microsecond,
		})
	}
	return out
}

// ownerSuspected reports whether gossip suspects the owner of a cell to be dead, or has seen it leave.
func (m *memberDirectory) ownerSuspected(owner ident.Instance) bool {
	return slices.ContainsFunc(m.cluster.Members(), func(member cluster.Member) bool {
		return member.Instance == owner && suspected(member)
	})
}

// suspected reports whether gossip says that a member may be dead or has left. The store still names a dead owner
// until its lease ends.
func suspected(member cluster.Member) bool {
	return member.Health != membership.Alive || member.Departure == membership.Left
}

// Address implements peergrpc.AddressBook.
func (m *memberDirectory) Address(host ident.HostID) (string, bool) {
	for _, member := range m.cluster.Members() {
		if member.Instance.Host == host {
			return member.Address, member.Address != ""
		}
	}
	return "", false
}

// LiveHosts implements config.Members.
func (m *memberDirectory) LiveHosts() []ident.HostID {
	var out []ident.HostID
	for _, member := range m.cluster.Members() {
		if member.Instance != m.self && member.Running() {
			out = append(out, member.Instance.Host)
		}
	}
	return out
}

// LeasedMembers implements config.Members. It reads the store, because only a lease there proves membership.
func (m *memberDirectory) LeasedMembers(ctx context.Context) ([]ident.Instance, error) {
	result, err := m.store.Range(ctx, cluster.MemberPrefix)
	if err != nil {
		return nil, err
	}
	var out []ident.Instance
	for _, entry := range result.Entries {
		record, err := m.codec.DecodeMember(entry.Value)
		if err != nil {
			return nil, err
		}
		out = append(out, record.Instance)
	}
	return out, nil
}

// watchesTable reports whether this host is one of those that watch the table for its data centre: the running
// members with the lowest names.
func (m *memberDirectory) watchesTable(dataCentre ident.DataCentre) bool {
	lowerNames := 0
	for _, member := range m.cluster.Members() {
		if member.Running() && member.Payload.DataCentre == dataCentre && member.Instance.Host < m.self.Host {
			lowerNames++
		}
	}
	return lowerNames < watchersPerDataCentre
}
