package lifecycle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// expectedNextTick computes the result of NextTick by scanning every worker.
func expectedNextTick(c *Cell) time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, w := range c.workers {
		if due, ok := c.nextDue(w); ok {
			earliest(due)
		}
	}
	for _, d := range c.delayed {
		earliest(d.at)
	}
	if c.inDoubt {
		return next
	}
	if c.silenceRecordedAt.Before(c.silentLeasesEndAt) {
		earliest(c.silenceRecordedAt.Add(silenceInterval))
	}
	return next
}

// Guards against a missed silence, lapse or probe of a worker whose deadline in the queue was not brought forward.
func TestNoDeadlineIsMissed(t *testing.T) {
	var ids []ident.WorkerID
	for i := range 12 {
		ids = append(ids, ident.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	f := newFixture(t, 1, ids...)
	rng := rand.New(rand.NewPCG(3, 4))
	var silent, lapsed, probed int
	for range 20_000 {
		f.now = f.now.Add(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
		id := ids[rng.IntN(len(ids))]
		w := f.c.workers[id]
		switch n := rng.IntN(40); {
		case n == 0:
			f.apply(f.c.SetAuthority(f.now, rng.IntN(3) > 0, true))
		case n == 1:
			f.c.mu.Lock()
			w.health = health{quarantined: true}
			f.c.scheduleProbe(f.now, w)
			f.c.mu.Unlock()
		case n < 8 && !w.claimed:
			f.claim(id, Report{})
		case n < 20 && w.claimed:
			req, _ := f.c.SyncRequest(id)
			if n < 18 {
				f.apply(f.c.SyncAnswered(f.now, id, req.Seq, "p1", nil, Report{Token: "token", Capacity: capacity}))
			} else {
				f.c.CallFailed(id)
			}
		case n == 20 && w.claimed:
			f.c.AnswerArrived(id)
		}
		require.Equal(t, expectedNextTick(f.c), f.c.NextTick())
		f.apply(f.c.Tick(f.now))
		for _, w := range f.c.sortedWorkers() {
			due, ok := f.c.nextDue(w)
			require.False(t, ok && !due.After(f.now), "%s at %s", w.member.ID, due)
			silent += boolToInt(w.silent)
			lapsed += boolToInt(w.lapsed)
			probed += boolToInt(w.health.probing)
		}
	}
	require.NotZero(t, silent)
	require.NotZero(t, lapsed)
	require.NotZero(t, probed)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
