package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

func row(name string, edit func(*table.Row)) table.Row {
	r := table.Row{Name: ident.ClassName(name), Kind: table.LatencyCritical, Weight: 1, Queue: 100, Deadline: time.Second}
	if edit != nil {
		edit(&r)
	}
	return r
}

func enqueue(t *testing.T, c *Controller, now time.Time, class string, deadline time.Duration) *Ticket {
	t.Helper()
	ticket, refusal := c.Enqueue(now, ident.ClassName(class), now.Add(deadline))
	require.Nil(t, refusal)
	return ticket
}

// Guards against a request being started before another of its class with an earlier deadline.
func TestEarliestDeadlineFirst(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	late := enqueue(t, c, testStart, "a", 900*time.Millisecond)
	early := enqueue(t, c, testStart, "a", 300*time.Millisecond)
	c.SetCapacity(1, time.Time{})
	require.Equal(t, []*Ticket{early}, c.Dispatch(testStart, anyTarget))
	c.Release(testStart.Add(time.Millisecond), early, true)
	require.Equal(t, []*Ticket{late}, c.Dispatch(testStart.Add(time.Millisecond), anyTarget))
}

// Guards against a request being queued although its deadline cannot be met, and against a refusal without the verdict
// NotRun or without RetryAfter.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	c := newController(1, 1, row("a", nil))
	now := testStart
	for range 20 {
		ticket := enqueue(t, c, now, "a", time.Second)
		c.Dispatch(now, anyTarget)
		now = now.Add(100 * time.Millisecond)
		c.Release(now, ticket, true)
	}
	enqueue(t, c, now, "a", time.Second)
	c.Dispatch(now, anyTarget)
	enqueue(t, c, now, "a", 500*time.Millisecond)
	_, refusal := c.Enqueue(now, "a", now.Add(150*time.Millisecond))
	require.NotNil(t, refusal)
	require.Equal(t, verdict.CodeDeadline, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Err().Verdict)
	require.Positive(t, refusal.Err().RetryAfter)
}

// Guards against a request waiting until its deadline although every target is paused for longer.
func TestRequestIsRefusedAtOnceWhileTargetsArePaused(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	c.SetCapacity(0, testStart.Add(500*time.Millisecond))
	_, refusal := c.Enqueue(testStart, "a", testStart.Add(400*time.Millisecond))
	require.Equal(t, verdict.CodeDeadline, refusal.Code)
	require.Equal(t, 100*time.Millisecond, refusal.RetryAfter)
	enqueue(t, c, testStart, "a", 600*time.Millisecond)
}

// Guards against all requests of a class being refused for good because of a service time measured in a slow period.
func TestClassRecoversFromSlowPeriod(t *testing.T) {
	c := newController(1, 4, row("a", nil))
	slow := enqueue(t, c, testStart, "a", time.Second)
	c.Dispatch(testStart, anyTarget)
	now := testStart.Add(time.Minute)
	c.Release(now, slow, true)
	for range 3 {
		enqueue(t, c, now, "a", 100*time.Millisecond)
	}
	require.Len(t, c.Dispatch(now, anyTarget), 3)
}

// Guards against a queue that grows without bound, and against a class without a queue being refused while slots are
// free.
func TestQueueIsBounded(t *testing.T) {
	c := newController(1, 1, row("a", func(r *table.Row) { r.Queue = 0 }), row("b", func(r *table.Row) { r.Queue = 2 }))
	enqueue(t, c, testStart, "a", time.Second)
	require.Len(t, c.Dispatch(testStart, anyTarget), 1)
	_, refusal := c.Enqueue(testStart, "a", testStart.Add(time.Second))
	require.Equal(t, verdict.CodeLimited, refusal.Code)
	enqueue(t, c, testStart, "b", time.Second)
	enqueue(t, c, testStart, "b", time.Second)
	_, refusal = c.Enqueue(testStart, "b", testStart.Add(time.Second))
	require.Equal(t, verdict.CodeLimited, refusal.Code)
	require.Equal(t, 2, c.Waiting())
}

// Guards against many cancellations at once losing slots, leaving entries in a queue or starting a cancelled request.
func TestCancellationWave(t *testing.T) {
	const slots, wave = 8, 10_000
	rng := rand.New(rand.NewPCG(3, 4))
	c := newController(1, slots, row("a", func(r *table.Row) { r.Queue = wave }), row("b", nil))
	tickets := make([]*Ticket, wave)
	for i := range tickets {
		tickets[i] = enqueue(t, c, testStart, "a", time.Second)
	}
	c.Dispatch(testStart, anyTarget)
	rng.Shuffle(wave, func(i, j int) { tickets[i], tickets[j] = tickets[j], tickets[i] })
	stillWaiting := 0
	for _, ticket := range tickets {
		if c.Cancel(testStart, ticket) {
			stillWaiting++
		}
	}
	require.Equal(t, wave-slots, stillWaiting)
	require.Zero(t, c.Waiting())
	require.Zero(t, c.InUse())
	require.Empty(t, c.Dispatch(testStart, anyTarget))
	b := enqueue(t, c, testStart, "b", time.Second)
	require.Equal(t, []*Ticket{b}, c.Dispatch(testStart, anyTarget))
	require.False(t, c.Cancel(testStart, tickets[0]), "a second cancellation has no effect")
	require.Equal(t, 1, c.InUse())
}

// Guards against a class exceeding its part of the fleet's rate or concurrency, and against a change of the table that
// takes effect only for new classes.
func TestLimitsFollowTheTable(t *testing.T) {
	limited := func(concurrency int, rate float64) table.Row {
		return row("a", func(r *table.Row) { r.Concurrency, r.Rate = concurrency, rate })
	}
	c := newController(4, 100, limited(8, 0))
	now := testStart.Add(time.Second)
	for range 10 {
		enqueue(t, c, now, "a", time.Second)
	}
	require.Len(t, c.Dispatch(now, anyTarget), 2)
	c.SetTable(now, table.New(2, []table.Row{limited(20, 0)}))
	require.Len(t, c.Dispatch(now, anyTarget), 3)

	c = newController(4, 100, limited(0, 400))
	started := 0
	for step := range 1000 {
		now := testStart.Add(time.Duration(step) * 10 * time.Millisecond)
		for range 4 {
			_, _ = c.Enqueue(now, "a", now.Add(time.Second))
		}
		for _, ticket := range c.Dispatch(now, anyTarget) {
			if ticket.Refusal() == nil {
				started++
				c.Release(now, ticket, true)
			}
		}
	}
	require.InDelta(t, 1000, started, 11, "100 a second for 10 s, and one burst of 10")
}

// Guards against a host without authority over a cell queueing or starting its requests.
func TestRequestsWithoutAuthorityAreRefused(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	ticket := enqueue(t, c, testStart, "a", time.Second)
	require.Equal(t, []*Ticket{ticket}, c.SetGrant(testStart, ownership.Grant{Epoch: 1}))
	require.Equal(t, verdict.CodeFenced, ticket.Refusal().Code)
	c.SetCapacity(8, time.Time{})
	_, refusal := c.Enqueue(testStart, "a", testStart.Add(time.Second))
	require.Equal(t, verdict.CodeFenced, refusal.Code)
	require.Equal(t, verdict.NotRun, refusal.Err().Verdict)
}

// Guards against requests of a class that was removed from the table waiting for ever.
func TestRequestsOfRemovedClassAreRefused(t *testing.T) {
	c := newController(1, 0, row("a", nil), row("b", nil))
	ticket := enqueue(t, c, testStart, "a", time.Second)
	require.Equal(t, []*Ticket{ticket}, c.SetTable(testStart, table.New(2, []table.Row{row("b", nil)})))
	require.Equal(t, verdict.CodeNotFound, ticket.Refusal().Code)
	require.Zero(t, c.Waiting())
}

// Guards against a class that counts as one that does not exist, for good and in all cells, while the owner of one cell
// has an older table than the host that received the request, or none.
func TestClassOutsideTableOfOwnerIsUnavailable(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	_, refusal := c.Enqueue(testStart, "b", testStart.Add(time.Second))
	require.Equal(t, verdict.CodeUnavailable, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	require.Equal(t, verdict.NotRun, refusal.Err().Verdict)
	c.SetTable(testStart, table.New(2, []table.Row{row("a", nil), row("b", nil)}))
	enqueue(t, c, testStart, "b", time.Second)
}

// Guards against Dispatch losing a request, or looping, if there is no target for it.
func TestRequestWithoutTargetStaysQueued(t *testing.T) {
	c := newController(1, 1, row("a", nil))
	ticket := enqueue(t, c, testStart, "a", time.Second)
	calls := 0
	require.Empty(t, c.Dispatch(testStart, func(*Ticket) bool { calls++; return false }))
	require.Equal(t, 1, calls)
	require.Equal(t, []*Ticket{ticket}, c.Dispatch(testStart, anyTarget))
}

// Guards against an immediate request being refused although it would start at once, or although it waits for a limit
// of its class, which sending it to another cell would bypass.
func TestImmediateRequestIsRefusedForSlotsOnly(t *testing.T) {
	row := func(name ident.ClassName, concurrency int) table.Row {
		return table.Row{Name: name, Kind: table.LatencyCritical, Weight: 1, Queue: 10, Concurrency: concurrency}
	}
	c := newController(1, 2, row("free", 0), row("limited", 1))
	deadline := testStart.Add(time.Hour)
	enqueueImmediate := func(name ident.ClassName) *Refusal {
		_, refusal := c.EnqueueImmediate(testStart, name, deadline)
		c.Dispatch(testStart, anyTarget)
		return refusal
	}
	require.Nil(t, enqueueImmediate("limited"), "a slot is free")
	require.Nil(t, enqueueImmediate("limited"), "it waits for the limit of its class")
	require.Equal(t, 1, c.Waiting())
	require.Equal(t, verdict.CodeBusy, enqueueImmediate("free").Code, "a slot is free, but another request waits")
	_, refusal := c.Enqueue(testStart, "free", deadline)
	require.Nil(t, refusal)
	c.Dispatch(testStart, anyTarget)
	require.Equal(t, 2, c.InUse())
	refused := enqueueImmediate("free")
	require.Equal(t, verdict.CodeBusy, refused.Code)
	require.Equal(t, verdict.NotRun, refused.Err().Verdict)
	require.Equal(t, 1, c.Waiting(), "a refused request is in no queue")
}
