package hostlist

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

func fleet(n int) ([]Host, cellmap.Map) {
	centres := []ident.DataCentre{"a", "b", "c", "d", "e", "f", "g"}
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{
			ID: fmt.Sprint(i), Kind: Target, DataCentre: centres[i/8%7], Rack: ident.Rack(fmt.Sprint(i / 8)), Leaving: i == 0,
		}
	}
	return hosts, cellmap.New(128, centres)
}

// Guards against a target being in no cell, in two cells or in a cell of another data centre, and against the loss of
// Leaving.
func TestEachTargetIsInOneCell(t *testing.T) {
	hosts, cells := fleet(1000)
	hosts = append(hosts, Host{ID: "w", Kind: Worker, DataCentre: "a"}, Host{ID: "x", Kind: Target, DataCentre: "elsewhere"})
	seen := map[ident.TargetID]bool{}
	for cell, targets := range Targets(hosts, cells) {
		for _, target := range targets {
			require.False(t, seen[target.ID])
			seen[target.ID] = true
			require.Equal(t, target.ID == "0", target.Leaving)
			var n int
			_, err := fmt.Sscan(string(target.ID), &n)
			require.NoError(t, err)
			require.Equal(t, hosts[n].DataCentre, cells.DataCentre(ident.CellID(cell)))
		}
	}
	require.Len(t, seen, 1000)
}

// BenchmarkTargets divides a list of 17,000 hosts, the intended size. The list is divided every second.
func BenchmarkTargets(b *testing.B) {
	hosts, cells := fleet(17_000)
	for b.Loop() {
		Targets(hosts, cells)
	}
}
