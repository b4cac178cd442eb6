package ownership

import (
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Cell is a unit of ownership, and the data centre of its targets and workers.
type Cell struct {
	ID         ident.CellID
	DataCentre ident.DataCentre
}

// Member is a host with a leased member record.
type Member struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	// MilliCPU is the processor time that the host may use, in thousandths of a core; 0 if it is not known.
	MilliCPU int64
	Leaving  bool
}

// cpuTier groups hosts by processor time, so that cells spread over all hosts of a tier. The limits of the tiers are
// powers of two, in thousandths of a core: hosts of one tier differ by less than a factor of two, and hosts of adjacent
// tiers may be similar.
func (m Member) cpuTier() int {
	return bits.Len64(uint64(max(m.MilliCPU, 0)))
}

// muchStrongerThan reports whether a host is in a higher tier than the owner and has at least twice its processor time.
func (m Member) muchStrongerThan(owner Member) bool {
	return m.cpuTier() > owner.cpuTier() && m.MilliCPU/2 >= owner.MilliCPU
}

// Rank orders the members that may own the cell, most preferred first: members in the data centre of the cell before
// all others, then by descending tier, then by rendezvous hashing, so that a change of one member moves only the cells
// of that member.
func Rank(c Cell, members []Member) []Member {
	ranked := make([]Member, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	score := func(m Member) uint64 {
		return xxhash.Sum64String(strconv.FormatUint(uint64(c.ID), 10) + "\x00" + string(m.Instance.Host))
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		if inA, inB := a.DataCentre == c.DataCentre, b.DataCentre == c.DataCentre; inA != inB {
			if inA {
				return -1
			}
			return 1
		}
		if sa, sb := a.cpuTier(), b.cpuTier(); sa != sb {
			return sb - sa
		}
		if sa, sb := score(a), score(b); sa != sb {
			if sa > sb {
				return -1
			}
			return 1
		}
		return compareInstances(a.Instance, b.Instance)
	})
	return ranked
}

func compareInstances(a, b ident.Instance) int {
	if a.Host != b.Host {
		if a.Host < b.Host {
			return -1
		}
		return 1
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
