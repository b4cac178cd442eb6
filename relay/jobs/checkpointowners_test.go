package jobs_test

import (
	"testing"
	"time"
)

// Guards against long batch tasks whose progress is never saved because the owner changes more often than once in a
// checkpoint interval: each owner counted the interval from its own beginning.
func TestChangesOfOwnerDoNotPutOffCheckpoints(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=20m"))
		for range 4 {
			time.Sleep(4 * time.Minute)
			fx.kill(h)
			h = fx.host()
			fx.giveCell(h)
		}
		time.Sleep(2 * time.Minute)
		fx.fleet["w0"].Crash()
		fx.fleet["w1"].Crash()
		h.awaitDone(8*time.Minute, id)
		fx.verify(h, id)
	})
}
