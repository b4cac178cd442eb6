package placement_test

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// sortedTaskIDs returns the keys of a map, sorted by job number.
func sortedTaskIDs[V any](m map[ident.TaskID]V) []ident.TaskID {
	ids := make([]ident.TaskID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ident.TaskID) int { return int(a.Job.Seq) - int(b.Job.Seq) })
	return ids
}

// TestMain fixes the seed of property tests, so that CI gets the same result on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.steps": "60"} {
		if !isFlagSet(name) {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func isFlagSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}
