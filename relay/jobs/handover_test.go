package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Guards against a planned hand-over that waits for a moment at which no task ends. A cell with many tasks has no
// such moment: here, one task ends every 25 ms for 10 s.
func TestBusyCellIsHandedOverSoon(t *testing.T) {
	const (
		workers   = 100
		jobCount  = 8
		taskCount = 50
	)
	scenario(t, workers, func(fx *fixture, h *host) {
		var ids []ident.JobID
		for j := range jobCount {
			s := lifecycle.JobSpec{Class: "batch"}
			for i := range taskCount {
				work := 2*time.Second + time.Duration(i*jobCount+j)*25*time.Millisecond
				s.Groups = append(s.Groups, lifecycle.TaskGroup{Count: 1, Need: oneCore, Command: fmt.Sprintf("work=%s", work)})
			}
			ids = append(ids, h.submit(s))
		}
		time.Sleep(3 * time.Second)
		limit, cancel := context.WithTimeout(bg, 500*time.Millisecond)
		defer cancel()
		require.NoError(t, h.svc.Drain(limit, cell))
		next := fx.host()
		fx.giveCell(next)
		next.awaitDone(time.Minute, ids...)
		fx.verify(next, ids...)
	})
}
