package daemon

import (
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Guards against a worker of an unknown data centre that is logged whenever any worker changes.
func TestWorkerOutsideAllCellsIsLoggedOnce(t *testing.T) {
	log, hook := test.NewNullLogger()
	h := &JobHost{
		settings: JobSettings{Regions: map[ident.DataCentre]ident.DataCentre{"nelson": "tasman"}},
		cellMap:  cellmap.New(1, []ident.DataCentre{"tasman"}), log: log.WithField("host", "a"),
	}
	inside := lifecycle.Member{ID: "i-1", DataCentre: "nelson", Rack: "r1"}
	unknown := lifecycle.Member{ID: "i-2", DataCentre: "nowhere", Rack: "r1"}
	for range 5 {
		inside.Leaving = !inside.Leaving
		require.Equal(t, []lifecycle.Member{inside}, h.assignToCells([]lifecycle.Member{inside, unknown}).workers[0])
	}
	require.Len(t, hook.AllEntries(), 1)
	unknown.DataCentre = "elsewhere"
	h.assignToCells([]lifecycle.Member{unknown})
	h.assignToCells(nil)
	h.assignToCells([]lifecycle.Member{unknown})
	require.Len(t, hook.AllEntries(), 3)
}
