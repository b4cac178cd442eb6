// Package membership maintains a host's view of the relay hosts by gossip, with probes, suspicion and refutation. It
// makes no decision about the ownership of cells.
package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Health is the liveness of a member as judged by the others.
type Health uint8

// The states of health. Under the same refutation, a later one overrides an earlier one.
const (
	Alive Health = iota
	Suspect
	Dead
)

// String returns the state for logs.
func (h Health) String() string {
	switch h {
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "alive"
	}
}

// Departure is the progress of a member's planned stop, announced by itself.
type Departure uint8

// The steps of a departure, in order.
const (
	// Staying means that no stop is planned.
	Staying Departure = iota
	// Leaving means that the member drains and takes no new work.
	Leaving
	// Left means that the member has given up all cells and stops.
	Left
)

// Load is the load of a cell that a member owns.
type Load struct {
	Cell   ident.CellID
	Queued uint32
	// LatencyUs is the latency of the targets in microseconds.
	LatencyUs uint32
	// Outstanding is the number of requests at targets, Capacity the number of slots that may be used.
	Outstanding uint32
	Capacity    uint32
}

// Payload is what a member publishes about itself, apart from its loads.
type Payload struct {
	PeerAddress   string
	CallerAddress string
	DataCentre    ident.DataCentre
	// TableRevision is the revision of the operators' table that the member uses.
	TableRevision uint64
	// StoreContact is false while the member gets no answers from the store. ContactAge is then the time since the last
	// answer, as of the publication.
	StoreContact bool
	ContactAge   time.Duration
	// Ledgers lists the instances whose ledgers the member took over.
	Ledgers []ident.Instance
}

// Member is the gossiped state of one host. Version and Departure are set by the member itself, Health by the others;
// a member overrides Suspect and Dead by a higher Refutation. Instance and version determine the payload, instance and
// load version the loads.
type Member struct {
	Instance   ident.Instance
	Version    uint64
	Refutation uint32
	Health     Health
	Departure  Departure
	Payload    Payload
	// LoadVersion and Loads describe the member's cells. They change all the time. They are therefore sent separately and
	// are not part of the Stamp: the next change replaces one that was lost.
	LoadVersion uint64
	Loads       []Load
}

// LoadChange is a new version of the loads of one member.
type LoadChange struct {
	Instance ident.Instance
	Version  uint64
	Loads    []Load
}

// Running reports whether the member is neither declared dead nor has left.
func (m Member) Running() bool {
	return m.Health != Dead && m.Departure != Left
}

// Merge joins two states of one host. A newer incarnation replaces an older one; within an incarnation, each part takes
// the newer value. The result does not depend on the order or the repetition of merges.
func Merge(a, b Member) Member {
	if a.Instance.Incarnation != b.Instance.Incarnation {
		if a.Instance.Incarnation > b.Instance.Incarnation {
			return a
		}
		return b
	}
	out := a
	if b.Version > a.Version {
		out.Version, out.Payload = b.Version, b.Payload
	}
	if b.Refutation > a.Refutation || b.Refutation == a.Refutation && b.Health > a.Health {
		out.Refutation, out.Health = b.Refutation, b.Health
	}
	if b.LoadVersion > a.LoadVersion {
		out.LoadVersion, out.Loads = b.LoadVersion, b.Loads
	}
	out.Departure = max(a.Departure, b.Departure)
	return out
}

// Stamp is the state of one host without its payload and loads.
type Stamp struct {
	Instance   ident.Instance
	Version    uint64
	Refutation uint32
	Health     Health
	Departure  Departure
}

// Stamp returns the stamp of the state.
func (m Member) Stamp() Stamp {
	return Stamp{m.Instance, m.Version, m.Refutation, m.Health, m.Departure}
}

// hash returns a hash of the stamp. The digest of a view is the XOR of these hashes, so that a change updates it
// without a pass over all members.
func (s Stamp) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, s.Instance.Host...)
	b = append(b, 0)
	b = appendUint(b, uint64(s.Instance.Incarnation))
	b = appendUint(b, s.Version)
	b = appendUint(b, uint64(s.Refutation))
	b = append(b, byte(s.Health), byte(s.Departure))
	return xxhash.Sum64(b)
}

func appendUint(b []byte, v uint64) []byte {
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(v>>shift))
	}
	return b
}

// loadBytes bounds the encoded size of a Load in bytes.
const loadBytes = 26

// size returns an upper bound of the encoded size of the change in bytes.
func (l LoadChange) size() int {
	return 24 + len(l.Instance.Host) + loadBytes*len(l.Loads)
}

// size returns an upper bound of the encoded size of the state in bytes.
func (m Member) size() int {
	n := 48 + len(m.Instance.Host) + len(m.Payload.PeerAddress) + len(m.Payload.CallerAddress) + len(m.Payload.DataCentre)
	n += loadBytes * len(m.Loads)
	for _, l := range m.Payload.Ledgers {
		n += 16 + len(l.Host)
	}
	return n
}

// clone returns a copy that shares no slices.
func (m Member) clone() Member {
	m.Loads = slices.Clone(m.Loads)
	m.Payload.Ledgers = slices.Clone(m.Payload.Ledgers)
	return m
}
