package ownership

import "github.com/bulrushrelay/bulrushrelay/core/ident"

const (
	// noShareShift stands for a share of 0: total >> 31 is 0 for every limit in use.
	noShareShift = 31
	// unitShift gives the unit in which shares are added up: 1/2^unitShift of a cell.
	unitShift = 30
)

// Predecessor is an earlier owner of a cell that may still use a share of it.
type Predecessor struct {
	Instance ident.Instance
	// ShareShift gives the largest share that the predecessor may still use: 1/2^ShareShift of the cell.
	ShareShift uint8
}

// Record is the ownership of a cell in the store. The leased record is deleted with the lease of the holder, the
// lasting record stays.
type Record struct {
	Holder ident.Instance
	// ShareShift gives the share of the holder, 1/2^ShareShift, while its authority is Full.
	ShareShift uint8
	// Unconfirmed lists the earlier owners that are not yet confirmed to have stopped.
	Unconfirmed []Predecessor
	// Released is set in the lasting record by a holder that has released the cell and uses no share of it any more.
	Released bool
	// Successor is the instance that claims a released cell first; zero if there is none.
	Successor ident.Instance
	// ByReach is set if the holder gained the cell as the named successor, because it reaches more of the workers.
	ByReach bool
}

// units returns 1/2^shift in units of 1/2^unitShift.
func units(shift uint8) int64 {
	if shift > unitShift {
		return 0
	}
	return 1 << (unitShift - shift)
}

// largestShareBeside returns the shift of the largest power of two that fits beside the predecessors.
func largestShareBeside(ps []Predecessor) uint8 {
	free := units(0)
	for _, p := range ps {
		free -= units(p.ShareShift)
	}
	for shift := range uint8(unitShift + 1) {
		if units(shift) <= free {
			return shift
		}
	}
	return noShareShift
}

// halved returns the shift of half the share.
func halved(shift uint8) uint8 {
	return min(shift+1, noShareShift)
}

// remainingPredecessors returns the predecessors whose shares a successor of last must not use. The last holder is
// listed with half of its share, because an owner without store contact uses no more. isStopped reports whether an
// instance has certainly stopped.
func remainingPredecessors(last Record, isStopped func(ident.Instance) bool) []Predecessor {
	var ps []Predecessor
	for _, p := range last.Unconfirmed {
		if !isStopped(p.Instance) {
			ps = append(ps, p)
		}
	}
	if !last.unheld() && !isStopped(last.Holder) {
		ps = append(ps, Predecessor{Instance: last.Holder, ShareShift: halved(last.ShareShift)})
	}
	return mergePredecessors(ps)
}

// unheld reports whether the record names no holder that uses the cell.
func (r Record) unheld() bool {
	return r.Released || r.Holder == (ident.Instance{})
}

// unused reports whether neither a holder nor a predecessor uses the cell.
func (r Record) unused() bool {
	return r.unheld() && len(r.Unconfirmed) == 0
}

// mergePredecessors joins the entries of one instance. A process uses a cell only once, so the larger share counts.
func mergePredecessors(ps []Predecessor) []Predecessor {
	var out []Predecessor
	for _, p := range ps {
		i := predecessorIndex(out, p.Instance)
		if i < 0 {
			out = append(out, p)
			continue
		}
		out[i].ShareShift = min(out[i].ShareShift, p.ShareShift)
	}
	return out
}

func predecessorIndex(ps []Predecessor, i ident.Instance) int {
	for n, p := range ps {
		if p.Instance == i {
			return n
		}
	}
	return -1
}
