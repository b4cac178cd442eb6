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

// decodeStamp maps enum values that only newer senders know. An unknown health becomes Dead, which is not proof that
// the member stopped. An unknown departure becomes Leaving rather than Left, because Left is the member's own
// statement that it stopped and would release its cells.
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
		message := &peerv1.Member{
			Stamp: encodeStamp(m.Stamp()), PeerAddress: p.PeerAddress, CallerAddress: p.CallerAddress,
			DataCentre: string(p.DataCentre), TableRevision: p.TableRevision, StoreContact: p.StoreContact,
		}
		if !p.StoreContact {
			message.ContactAgeMs = p.ContactAge.Milliseconds()
		}
		message.LoadVersion, message.Loads = m.LoadVersion, encodeLoads(m.Loads)
		for _, i := range p.Ledgers {
			message.Ledgers = append(message.Ledgers, encodeInstance(i))
		}
		out = append(out, message)
	}
	return out
}

func decodeMembers(members []*peerv1.Member) []membership.Member {
	out := make([]membership.Member, 0, len(members))
	for _, message := range members {
		s := decodeStamp(message.GetStamp())
		if s.Instance.Host == "" {
			continue
		}
		m := membership.Member{
			Instance: s.Instance, Version: s.Version, Refutation: s.Refutation, Health: s.Health, Departure: s.Departure,
		}
		m.Payload = membership.Payload{
			PeerAddress: message.GetPeerAddress(), CallerAddress: message.GetCallerAddress(), DataCentre: ident.DataCentre(message.GetDataCentre()),
			TableRevision: message.GetTableRevision(), StoreContact: message.GetStoreContact(),
			ContactAge: durationFromMs(message.GetContactAgeMs()),
		}
		m.LoadVersion, m.Loads = message.GetLoadVersion(), decodeLoads(message.GetLoads())
		for _, i := range message.GetLedgers() {
			m.Payload.Ledgers = append(m.Payload.Ledgers, decodeInstance(i))
		}
		out = append(out, m)
	}
	return out
}

func encodeExchangeRequest(r membership.Request) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		From: encodeInstance(r.From), Digest: r.Digest, Updates: encodeMembers(r.Updates), Have: encodeStamps(r.Have),
		Loads: encodeLoadChanges(r.Loads),
	}
}

func decodeExchangeRequest(r *peerv1.ExchangeRequest) (membership.Request, error) {
	from := decodeInstance(r.GetFrom())
	if from.Host == "" {
		return membership.Request{}, status.Error(codes.InvalidArgument, "exchange names no sender")
	}
	return membership.Request{
		From: from, Digest: r.GetDigest(), Updates: decodeMembers(r.GetUpdates()), Have: decodeStamps(r.GetHave()),
		Loads: decodeLoadChanges(r.GetLoads()),
	}, nil
}

func encodeExchangeReply(r membership.Reply, report ownership.Report) *peerv1.ExchangeReply {
	return &peerv1.ExchangeReply{
		From: encodeInstance(r.From), Digest: r.Digest, Updates: encodeMembers(r.Updates), Window: encodeStamps(r.Window),
		Loads: encodeLoadChanges(r.Loads),
		Report: &peerv1.Report{
			From: encodeInstance(report.From), Established: report.Established, Contacts: report.Contacts,
			ContactAgeMs: report.ContactAge.Milliseconds(), KnownDigest: report.KnownDigest,
		},
	}
}

func decodeExchangeReply(r *peerv1.ExchangeReply) membership.Reply {
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
