package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// passedMembers records what is passed on.
type passedMembers struct {
	set, updated [][]lifecycle.Member
}

func (p *passedMembers) SetMembers(_ ident.CellID, m []lifecycle.Member) {
	p.set = append(p.set, m)
}

func (p *passedMembers) UpdateMembers(_ ident.CellID, m []lifecycle.Member) {
	p.updated = append(p.updated, m)
}

// Guards against a host list that has not been read, or lacks workers that are about to register again, and is passed on
// as if all others were gone.
func TestIncompleteHostListRemovesNoWorker(t *testing.T) {
	f := newFleet(cellmap.New(1, []ident.DataCentre{"tasman"}))
	var to passedMembers
	f.passOn(&to, 0)
	some := []lifecycle.Member{{ID: "i-1"}}
	f.current.Store(&fleetSnapshot{workers: map[ident.CellID][]lifecycle.Member{0: some}})
	f.passOn(&to, 0)
	require.Empty(t, to.set)
	require.Equal(t, [][]lifecycle.Member{nil, some}, to.updated)
	f.current.Store(&fleetSnapshot{workers: map[ident.CellID][]lifecycle.Member{}, complete: true})
	f.passOn(&to, 0)
	require.Equal(t, [][]lifecycle.Member{nil}, to.set)
}
