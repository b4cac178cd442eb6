package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Guards against batch tasks that run at a reduced speed to their end: the owner that had throttled them for an urgent task
// ended before it could restore their processors, and the next one does not know of the throttle.
func TestThrottleEndsAfterAChangeOfOwner(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		need := resource.Vector{MilliCPU: 1000, MemoryMB: 100}
		batch, urgent := spec("batch", 4, "work=10m"), spec("urgent", 1, "work=6s")
		batch.Groups[0].Need, urgent.Groups[0].Need = need, need
		batchJob := h.submit(batch)
		time.Sleep(5 * time.Second)
		urgentJob := h.submit(urgent)
		time.Sleep(5 * time.Second)
		require.Equal(t, 5, fx.fleet["w0"].RunningTasks(), "the batch tasks are not throttled")
		fx.kill(h)
		time.Sleep(5 * time.Second)
		next := fx.host()
		fx.giveCell(next)
		next.awaitDone(10*time.Minute+30*time.Second, batchJob, urgentJob)
		fx.verify(next, batchJob, urgentJob)
	})
}
