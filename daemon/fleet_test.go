package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Guards against a host list that has not been read and is passed on as an empty one, which means that all workers are
// gone.
func TestUnreadHostListIsNotEmpty(t *testing.T) {
	f := newFleet(cellmap.New(1, []ident.DataCentre{"tasman"}))
	_, known := f.workersOf(0)
	require.False(t, known)
	f.current.Store(&fleetSnapshot{workers: map[ident.CellID][]lifecycle.Member{}})
	_, known = f.workersOf(0)
	require.True(t, known)
}
