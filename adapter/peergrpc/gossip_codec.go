package peergrpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

func encodeInstance(i ident.Instance) *peerv1.Instance {
	return &peerv1.Instance{Host: string(i.Host), Incarnation: uint64(i.Incarnation)}
}

func decodeInstance(i *peerv1.Instance) ident.Instance {
	return ident.Instance{Host: ident.HostID(i.GetHost()), Incarnation: ident.Incarnation(i.GetIncarnation())}
}

func encodeStamp(s membership.Stamp) *peerv1.Stamp {
	return &peerv1.Stamp{
		Instance: encodeInstance(s.Instance), Version: s.Version, Refutation: s.Refutation,
		Health: uint32(s.Health), Departure: uint32(s.Departure),
	}
}

// decodeStamp limits the enumerations for newer senders. An unknown health reads as dead, which proves nothing. An unknown
// departure does not read as left: that would be the member's own word that it stopped, and free its cells.
func decodeStamp(s *peerv1.Stamp) membership.Stamp {
	departure := membership.Leaving
	if s.GetDeparture() <= uint32(membership.Left) {
		departure = membership.Departure(s.GetDeparture())
	}
	return membership.Stamp{
		Instance: decodeInstance(s.GetInstance()), Version: s.GetVersion(), Refutation: s.GetRefutation(),
		Health:    membership.Health(min(s.GetHealth(), uint32(membership.Dead))),
		Departure: departure,
	}
}

func encodeStamps(stamps []membership.Stamp) []*peerv1.Stamp {
	out := make([]*peerv1.Stamp, 0, len(stamps))
	for _, s := range stamps {
		out = append(out, encodeStamp(s))
	}
	return out
}

func decodeStamps(stamps []*peerv1.Stamp) []membership.Stamp {
	out := make([]membership.Stamp, 0, len(stamps))
	for _, s := range stamps {
		if s.GetInstance().GetHost() != "" {
			out = append(out, decodeStamp(s))
		}
	}
	return out
}

func encodeLoads(loads []membership.Load) []*peerv1.CellLoad {
	out := make([]*peerv1.CellLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, &peerv1.CellLoad{Cell: uint32(l.Cell), Queued: l.Queued, LatencyUs: l.LatencyUs, Outstanding: l.Outstanding, Capacity: l.Capacity})
	}
	return out
}

func decodeLoads(loads []*peerv1.CellLoad) []membership.Load {
	var out []membership.Load
	for _, l := range loads {
		out = append(out, membership.Load{
			Cell: ident.CellID(l.GetCell()), Queued: l.GetQueued(), LatencyUs: l.GetLatencyUs(), Outstanding: l.GetOutstanding(), Capacity: l.GetCapacity(),
		})
	}
	return out
}

func encodeLoadChanges(changes []membership.LoadChange) []*peerv1.LoadChange {
	out := make([]*peerv1.LoadChange, 0, len(changes))
	for _, c := range changes {
		out = append(out, &peerv1.LoadChange{Instance: encodeInstance(c.Instance), Version: c.Version, Loads: encodeLoads(c.Loads)})
	}
	return out
}

func decodeLoadChanges(changes []*peerv1.LoadChange) []membership.LoadChange {
	var out []membership.LoadChange
	for _, c := range changes {
		out = append(out, membership.LoadChange{Instance: decodeInstance(c.GetInstance()), Version: c.GetVersion(), Loads: decodeLoads(c.GetLoads())})
	}
	return out
}

func encodeMembers(members []membership.Member) []*peerv1.Member {
	out := make([]*peerv1.Member, 0, len(members))
	for _, m := range members {
		p := m.Payload
		wire := &peerv1.Member{
			Stamp: encodeStamp(m.Stamp()), PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress,
			DataCentre: string(p.DataCentre), TableRevision: p.TableRevision, StoreContact: p.StoreContact,
		}
		if !p.StoreContact {
			wire.ContactAgeMs = p.ContactAge.Milliseconds()
		}
		wire.LoadVersion, wire.Loads = m.LoadVersion, encodeLoads(m.Loads)
		for _, i := range p.Ledgers {
			wire.Ledgers = append(wire.Ledgers, encodeInstance(i))
		}
		out = append(out, wire)
	}
	return out
}

func decodeMembers(members []*peerv1.Member) []membership.Member {
	out := make([]membership.Member, 0, len(members))
	for _, w := range members {
		s := decodeStamp(w.GetStamp())
		if s.Instance.Host == "" {
			continue
		}
		m := membership.Member{
			Instance: s.Instance, Version: s.Version, Refutation: s.Refutation, Health: s.Health, Departure: s.Departure,
		}
		m.Payload = membership.Payload{
			PeerAddress: w.GetPeerAddress(), CallerAddress: w.GetCallerAddress(), DataCentre: ident.DataCentre(w.GetDataCentre()),
			TableRevision: w.GetTableRevision(), StoreContact: w.GetStoreContact(),
			ContactAge: durationFromMs(w.GetContactAgeMs()),
		}
		m.LoadVersion, m.Loads = w.GetLoadVersion(), decodeLoads(w.GetLoads())
		for _, i := range w.GetLedgers() {
			m.Payload.Ledgers = append(m.Payload.Ledgers, decodeInstance(i))
		}
		out = append(out, m)
	}
	return out
}

func encodeRequest(r membership.Request) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		From: encodeInstance(r.From), Digest: r.Digest, Updates: encodeMembers(r.Updates), Have: encodeStamps(r.Have),
		Loads: encodeLoadChanges(r.Loads),
	}
}

func decodeRequest(r *peerv1.ExchangeRequest) (membership.Request, error) {
	from := decodeInstance(r.GetFrom())
	if from.Host == "" {
		return membership.Request{}, status.Error(codes.InvalidArgument, "exchange names no sender")
	}
	return membership.Request{
		From: from, Digest: r.GetDigest(), Updates: decodeMembers(r.GetUpdates()), Have: decodeStamps(r.GetHave()),
		Loads: decodeLoadChanges(r.GetLoads()),
	}, nil
}

func encodeReply(r membership.Reply, report ownership.Report) *peerv1.ExchangeReply {
	return &peerv1.ExchangeReply{
		From: encodeInstance(r.From), Digest: r.Digest, Updates: encodeMembers(r.Updates), Window: encodeStamps(r.Window),
		Loads: encodeLoadChanges(r.Loads),
		Report: &peerv1.Report{
			From: encodeInstance(report.From), Established: report.Established, Contacts: report.Contacts,
			ContactAgeMs: report.ContactAge.Milliseconds(), KnownDigest: report.KnownDigest,
		},
	}
}

func decodeReply(r *peerv1.ExchangeReply) membership.Reply {
	return membership.Reply{
		From: decodeInstance(r.GetFrom()), Digest: r.GetDigest(), Updates: decodeMembers(r.GetUpdates()),
		Window: decodeStamps(r.GetWindow()), Loads: decodeLoadChanges(r.GetLoads()),
	}
}

func decodeReport(r *peerv1.Report) ownership.Report {
	return ownership.Report{
		From: decodeInstance(r.GetFrom()), Established: r.GetEstablished(), Contacts: r.GetContacts(),
		ContactAge: durationFromMs(r.GetContactAgeMs()), KnownDigest: r.GetKnownDigest(),
	}
}
