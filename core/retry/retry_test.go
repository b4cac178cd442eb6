package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/retry"
)

var (
	causes = []retry.Cause{retry.OwnerMissing, retry.StoreUnavailable, retry.CellFull}
	draws  = []float64{0, 0.25, 0.5, 0.75, 0.999}
)

// tries is how often a client of the platform tries a call.
const tries = 4

// Guards against clients that have used up their tries before an outage of 5 s ends, whatever is drawn and however late
// the first of them comes.
func TestTriesOutlastAnOutage(t *testing.T) {
	const outage = 5 * time.Second
	for _, cause := range causes {
		for _, urgent := range []bool{false, true} {
			for first := time.Duration(0); first < outage; first += 100 * time.Millisecond {
				lasted := first
				for range tries - 1 {
					lasted += retry.After(cause, lasted, urgent, 0)
				}
				require.GreaterOrEqual(t, lasted, outage, "cause %d, urgent %t, first try after %s", cause, urgent, first)
			}
		}
	}
}

// Guards against delays that the wire cannot carry, and against clients that wait for longer than 4 s, also after a clock
// that went back.
func TestDelaysAreWholeSecondsInBounds(t *testing.T) {
	for _, cause := range causes {
		for _, urgent := range []bool{false, true} {
			for _, lasted := range []time.Duration{-time.Hour, 0, 300 * time.Millisecond, 2 * time.Second, time.Hour, 1<<63 - 1} {
				for _, random := range draws {
					d := retry.After(cause, lasted, urgent, random)
					require.Zero(t, d%time.Second)
					require.GreaterOrEqual(t, d, retry.MinDelay)
					require.LessOrEqual(t, d, retry.MaxDelay)
				}
			}
		}
	}
}

// Guards against urgent work that returns later than other work, and against delays that shrink while a cause lasts.
func TestDelaysGrowWithAgeAndFallWithUrgency(t *testing.T) {
	for _, cause := range causes {
		for _, random := range draws {
			previous := time.Duration(0)
			for lasted := time.Duration(0); lasted < 10*time.Second; lasted += 100 * time.Millisecond {
				d := retry.After(cause, lasted, false, random)
				require.LessOrEqual(t, retry.After(cause, lasted, true, random), d)
				require.GreaterOrEqual(t, d, previous)
				previous = d
			}
			require.Greater(t, previous, retry.After(cause, 0, false, random))
		}
	}
}

// Guards against callers that are refused together and return together.
func TestCallersAreSpread(t *testing.T) {
	const callers = 1000
	rng := rand.New(rand.NewPCG(1, 1))
	count := make(map[time.Duration]int)
	for range callers {
		count[retry.After(retry.StoreUnavailable, 400*time.Millisecond, false, rng.Float64())]++
	}
	require.Len(t, count, 2)
	for d, n := range count {
		require.Less(t, n, callers*95/100, "callers that return after %s", d)
	}
}
