package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// members presents the cluster service to the parts that need to know other hosts.
type members struct {
	self    ident.Instance
	cells   cellmap.Map
	cluster *cluster.Service
	store   store.Store
	codec   cluster.Codec
}

// Owner implements directory. A host that started during an outage of the store has not read the owners; it goes by
// what members gossip of their cells. A wrong owner refuses with proof, so that this is only a matter of time lost.
func (m *members) Owner(cell ident.CellID) (ident.Instance, string, bool) {
	if owner, address, ok := m.cluster.Owner(cell); ok {
		return owner, address, true
	}
	for _, member := range m.cluster.Members() {
		if member.Running() && member.Address != "" && holds(member, cell) {
			return member.Instance, member.Address, true
		}
	}
	return ident.Instance{}, "", false
}

func holds(member cluster.Member, cell ident.CellID) bool {
	return slices.ContainsFunc(member.Loads, func(l membership.Load) bool { return l.Cell == cell })
}

// Answering implements directory.
func (m *members) Answering(issuer ident.Instance) []string {
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

// Loads implements directory. It runs for each request, so that it looks at each member once and not once a cell.
func (m *members) Loads() []routing.CellLoad {
	loads := make(map[ident.CellID]membership.Load)
	doubtful := make(map[ident.Instance]bool)
	for _, member := range m.cluster.Members() {
		if doubted(member) {
			doubtful[member.Instance] = true
		}
		for _, l := range member.Loads {
			if owner, _, ok := m.Owner(l.Cell); ok && owner == member.Instance {
				loads[l.Cell] = l
			}
		}
	}
	out := make([]routing.CellLoad, 0, m.cells.Cells())
	for i := range m.cells.Cells() {
		cell := ident.CellID(i)
		owner, _, owned := m.Owner(cell)
		l, known := loads[cell]
		out = append(out, routing.CellLoad{
			Cell:        cell,
			DataCentre:  m.cells.DataCentre(cell),
			Usable:      owned && !doubtful[owner] && (!known || l.Capacity > 0),
			Waiting:     int(l.Queued),
			Outstanding: int(l.Outstanding),
			Capacity:    int(l.Capacity),
			Latency:     time.Duration(l.LatencyUs) * time.Microsecond,
		})
	}
	return out
}

// doubtful reports whether gossip doubts an owner.
func (m *members) doubtful(owner ident.Instance) bool {
	return slices.ContainsFunc(m.cluster.Members(), func(member cluster.Member) bool {
		return member.Instance == owner && doubted(member)
	})
}

// doubted reports whether gossip says that a member may be dead, or has left. The store names a dead owner for as long
// as its lease lasts.
func doubted(member cluster.Member) bool {
	return member.Health != membership.Alive || member.Departure == membership.Left
}

// Address implements peergrpc.AddressBook.
func (m *members) Address(host ident.HostID) (string, bool) {
	for _, member := range m.cluster.Members() {
		if member.Instance.Host == host {
			return member.Address, member.Address != ""
		}
	}
	return "", false
}

// LiveHosts implements config.Members.
func (m *members) LiveHosts() []ident.HostID {
	var out []ident.HostID
	for _, member := range m.cluster.Members() {
		if member.Instance != m.self && member.Running() {
			out = append(out, member.Instance.Host)
		}
	}
	return out
}

// LeasedMembers implements config.Members. It reads the store, because only a lease there proves that a member counts.
func (m *members) LeasedMembers(ctx context.Context) ([]ident.Instance, error) {
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

// watches reports whether this host is one of the table's watchers of its data centre: the live members with the
// lowest names.
func (m *members) watches(centre ident.DataCentre) bool {
	lower := 0
	for _, member := range m.cluster.Members() {
		if member.Running() && member.Payload.DataCentre == centre && member.Instance.Host < m.self.Host {
			lower++
		}
	}
	return lower < watchersPerDataCentre
}
