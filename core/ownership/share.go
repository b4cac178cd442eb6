package ownership

import "github.com/bulrushrelay/bulrushrelay/core/ident"

const (
	// noShareShift stands for a share of 0: total >> 31 is 0 for every limit in use.
	noShareShift = 31
	// unitShift gives the unit in which shares are summed: 1/2^unitShift of a cell.
	unitShift = 30
)

// Predecessor is an earlier owner of a cell that may still use a part of it.
type Predecessor struct {
	Instance ident.Instance
	// ShareShift gives the most that the predecessor may still use: 1/2^ShareShift of the cell.
	ShareShift uint8
}

// Record is the ownership of a cell as kept in the store, in the leased record and in the lasting one.
type Record struct {
	Holder ident.Instance
	// ShareShift gives the share of the holder while its authority is Full.
	ShareShift uint8
	// Unconfirmed lists the earlier owners that have not been confirmed to have stopped.
	Unconfirmed []Predecessor
	// Released is set in the lasting record by an owner that gave the cell up and uses no part of it any more.
	Released bool
}

// units returns 1/2^shift in units of 1/2^unitShift.
func units(shift uint8) int64 {
	if shift > unitShift {
		return 0
	}
	return 1 << (unitShift - shift)
}

// shareBeside returns the shift of the largest power of two that fits beside the predecessors.
func shareBeside(ps []Predecessor) uint8 {
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

// heirs returns the predecessors that an heir of last must leave room for. An owner that has lost contact uses half
// of its share, which is what it is listed with. gone reports the instances that have certainly stopped.
func heirs(last Record, gone func(ident.Instance) bool) []Predecessor {
	var ps []Predecessor
	for _, p := range last.Unconfirmed {
		if !gone(p.Instance) {
			ps = append(ps, p)
		}
	}
	if !last.free() && !gone(last.Holder) {
		ps = append(ps, Predecessor{Instance: last.Holder, ShareShift: halved(last.ShareShift)})
	}
	return merge(ps)
}

// free reports whether the holder of the record uses no part of the cell.
func (r Record) free() bool {
	return r.Released || r.Holder == (ident.Instance{})
}

// clean reports whether nobody uses any part of the cell.
func (r Record) clean() bool {
	return r.free() && len(r.Unconfirmed) == 0
}

// merge joins the entries of one instance. One process uses a cell once, so the larger part counts.
func merge(ps []Predecessor) []Predecessor {
	var out []Predecessor
	for _, p := range ps {
		i := indexOf(out, p.Instance)
		if i < 0 {
			out = append(out, p)
			continue
		}
		out[i].ShareShift = min(out[i].ShareShift, p.ShareShift)
	}
	return out
}

func indexOf(ps []Predecessor, i ident.Instance) int {
	for n, p := range ps {
		if p.Instance == i {
			return n
		}
	}
	return -1
}
