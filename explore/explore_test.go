//go:build !race

// These tests are excluded from race builds, because the race detector fails an internal check in them
// (tsan_rtl.cpp:346).

package explore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/soak"
)

// Guards against combinations of failures that violate a guarantee, keep a host from getting ready or leave an accepted
// job unfinished. Whole hosts run in one process under a fake clock, and each seed determines a schedule.
func TestRandomFailures(t *testing.T) {
	const duration = 40 * time.Second
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6} {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			steps := soak.Generate(seed, duration, Topology())
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("schedule of seed %d:", seed)
					for _, s := range steps {
						t.Log(s)
					}
				}
			})
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
				defer cancel()
				events, violations, err := Run(ctx, seed, duration, steps)
				require.NoError(t, err)
				for _, v := range violations {
					t.Errorf("seed %d: %s", seed, v)
				}
				require.Greater(t, len(events), 500, "the load did not reach the hosts")
			})
		})
	}
}
