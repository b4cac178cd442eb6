package contain

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// Guards against a background loop that ends its process, or stays dead, after an unexpected error, and against a log
// without the stack.
func TestLoopRunsAgainAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		before := Panics()
		runs := 0
		Loop(context.Background(), log, "loop", func(context.Context) {
			if runs++; runs < 3 {
				panic("odd input")
			}
		})
		require.Equal(t, 3, runs)
		require.Equal(t, before+2, Panics())
		require.Len(t, hook.AllEntries(), 2)
		require.Equal(t, "odd input", hook.LastEntry().Data["panic"])
		require.Contains(t, hook.LastEntry().Data["stack"], "TestLoopRunsAgainAfterPanic")
	})
}

// Guards against a loop that outlives its host.
func TestLoopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := test.NewNullLogger()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		Loop(ctx, log, "loop", func(context.Context) { panic("odd input") })
		require.Error(t, ctx.Err())
	})
}
