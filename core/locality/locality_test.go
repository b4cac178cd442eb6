package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Load: many tasks want one rack at once. Guards against a task that runs elsewhere although its rack is about to have room, and
// against one that waits for longer than it would have taken elsewhere.
func TestShouldWait(t *testing.T) {
	c := Choice{RunTime: time.Second, Slowdown: 3, Wait: 150 * time.Millisecond, Fits: true}
	require.True(t, c.ShouldWait())
	for name, change := range map[string]func(c *Choice){
		"long wait expected":   func(c *Choice) { c.Wait = 250 * time.Millisecond },
		"waited for long":      func(c *Choice) { c.Waited = 60 * time.Millisecond },
		"small slowdown":       func(c *Choice) { c.Slowdown = 2.4 },
		"slowdown not known":   func(c *Choice) { c.Slowdown = 0 },
		"run time not known":   func(c *Choice) { c.RunTime = 0 },
		"no room is expected":  func(c *Choice) { c.Fits = false },
		"nothing lost by that": func(c *Choice) { c.Slowdown = 1 },
	} {
		other := c
		change(&other)
		require.False(t, other.ShouldWait(), name)
	}
}

// Guards against a task that forecasts keep waiting: whatever they say, it starts after its share of the time that it loses elsewhere.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Choice{
			RunTime: time.Duration(rapid.IntRange(0, 10_000).Draw(t, "run time")) * time.Millisecond, Slowdown: rapid.Float64Range(0, 5).Draw(t, "slowdown"), Fits: true,
		}
		for c.ShouldWait() {
			c.Wait = time.Duration(rapid.IntRange(0, 100).Draw(t, "wait")) * time.Millisecond
			c.Waited += 10 * time.Millisecond
		}
		require.LessOrEqual(t, c.Waited, time.Duration(waitShare*float64(c.RunTime)*max(c.Slowdown-1, 0))+10*time.Millisecond)
	})
}
