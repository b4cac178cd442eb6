package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// interruptedUpdates runs meanwhile before it records the first list.
type interruptedUpdates struct {
	passedMembers
	meanwhile func()
}

func (u *interruptedUpdates) SetMembers(id ident.CellID, m []lifecycle.Member) {
	if run := u.meanwhile; run != nil {
		u.meanwhile = nil
		run()
	}
	u.passedMembers.SetMembers(id, m)
}

// Guards against an older host list that replaces a newer one in the cell: the goroutine that acquires a cell and the one
// that follows the workers both pass lists on. A worker that has begun to leave would get tasks until the next change.
func TestAcquisitionDoesNotPassOnAnOlderHostList(t *testing.T) {
	f := newFleet(cellmap.New(1, []ident.DataCentre{"tasman"}))
	list := func(leaving bool) *fleetSnapshot {
		m := []lifecycle.Member{{ID: "i-1", Leaving: leaving}}
		return &fleetSnapshot{workers: map[ident.CellID][]lifecycle.Member{0: m}, complete: true}
	}
	f.current.Store(list(false))
	var to interruptedUpdates
	to.meanwhile = func() {
		f.current.Store(list(true))
		f.passOn(&to, 0)
	}
	f.passOn(&to, 0)
	require.Equal(t, f.workersOf(0), to.set[len(to.set)-1])
}
