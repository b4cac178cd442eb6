package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// busyCell submits tasks of which one ends every 25 ms for 10 s, and waits until the first have ended.
func busyCell(h *host) (ids []ident.JobID) {
	const (
		jobCount  = 8
		taskCount = 50
	)
	for j := range jobCount {
		s := lifecycle.JobSpec{Class: "batch"}
		for i := range taskCount {
			work := 2*time.Second + time.Duration(i*jobCount+j)*25*time.Millisecond
			s.Groups = append(s.Groups, lifecycle.TaskGroup{Count: 1, Need: oneCore, Command: fmt.Sprintf("work=%s", work)})
		}
		ids = append(ids, h.submit(s))
	}
	time.Sleep(3 * time.Second)
	return ids
}

// handOverSoon hands the cell over to another host within 500 ms, and waits until the jobs are done.
func (fx *fixture) handOverSoon(h *host, ids []ident.JobID) {
	limit, cancel := context.WithTimeout(bg, 500*time.Millisecond)
	defer cancel()
	require.NoError(fx.t, h.svc.Drain(limit, cell))
	next := fx.host()
	fx.giveCell(next)
	next.awaitDone(time.Minute, ids...)
	fx.verify(next, ids...)
}

// Guards against a planned hand-over that waits for a moment at which no task ends. A cell with many tasks has no
// such moment: here, one task ends every 25 ms for 10 s.
func TestBusyCellIsHandedOverSoon(t *testing.T) {
	scenario(t, 100, func(fx *fixture, h *host) {
		fx.handOverSoon(h, busyCell(h))
	})
}

// Guards against a planned hand-over that goes on for as long as workers join, because each one adds a record.
func TestJoiningWorkersDoNotDelayHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1000)
		defer fx.close()
		all := fx.members()
		fx.listed = all[:10]
		h := fx.host()
		fx.giveCell(h)
		time.Sleep(time.Second)
		id := h.submit(spec("batch", 10, "work=2s"))
		go func() {
			for n := range len(all) - 10 {
				h.svc.SetMembers(cell, all[:10+n])
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		fx.handOverSoon(h, []ident.JobID{id})
	})
}
