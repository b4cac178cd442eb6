package cellmap

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against racks being assigned outside their data centre, and against cells that get far more racks than others.
func TestRacksSpreadOverCellsOfTheirDataCentre(t *testing.T) {
	m := New(9, []ident.DataCentre{"nelson", "richmond", "motueka"})
	count := map[ident.CellID]int{}
	for i := range 3000 {
		cell, ok := m.Cell("richmond", ident.Rack(fmt.Sprintf("r%d", i)))
		require.True(t, ok)
		require.Equal(t, ident.DataCentre("richmond"), m.DataCentre(cell))
		count[cell]++
	}
	require.Len(t, count, 3)
	for cell, n := range count {
		require.InDelta(t, 1000, n, 100, cell)
	}
}

// Guards against the addition of a cell moving racks between the existing cells.
func TestNewCellMovesNoRacksBetweenOthers(t *testing.T) {
	before, after := New(3, []ident.DataCentre{"nelson"}), New(4, []ident.DataCentre{"nelson"})
	for i := range 1000 {
		rack := ident.Rack(fmt.Sprintf("r%d", i))
		was, _ := before.Cell("nelson", rack)
		is, _ := after.Cell("nelson", rack)
		require.True(t, is == was || is == 3, rack)
	}
}

// Guards against a rack of an unknown data centre being assigned to a cell.
func TestUnknownDataCentreHasNoCell(t *testing.T) {
	_, ok := New(9, []ident.DataCentre{"nelson"}).Cell("palermo", "r1")
	require.False(t, ok)
	require.Empty(t, New(9, nil).DataCentre(0))
}
