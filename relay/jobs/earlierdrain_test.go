package jobs_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Guards against a drain under an earlier grant that ends last and stops the owner under the present one. The host would
// hold the grant without an owner, and nothing would start one.
func TestEarlierDrainDoesNotStopTheOwner(t *testing.T) {
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		var delay atomic.Int64
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowKeys{s, "/cell/1/part", &delay} })
		fx.giveCell(h)
		id := h.submit(spec("batch", 2, "work=20s"))
		time.Sleep(time.Second)
		delay.Store(int64(2 * time.Second))
		drained := make(chan error, 1)
		go func() { drained <- h.svc.Drain(bg, cell) }()
		time.Sleep(time.Second)
		fx.giveCell(h)
		require.Error(t, <-drained)
		h.submit(spec("batch", 1, "work=1s"))
		h.awaitDone(2*time.Minute, id)
	})
}
