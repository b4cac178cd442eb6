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

func enter(t *testing.T, c *Controller, now time.Time, class string, deadline time.Duration) *Ticket {
	t.Helper()
	ticket, why := c.Enqueue(now, ident.ClassName(class), now.Add(deadline))
	require.Nil(t, why)
	return ticket
}

// Guards against a later deadline of a class being served before an earlier one.
func TestEarliestDeadlineFirst(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	late := enter(t, c, epoch, "a", 900*time.Millisecond)
	early := enter(t, c, epoch, "a", 300*time.Millisecond)
	c.SetCapacity(1, time.Time{})
	require.Equal(t, []*Ticket{early}, c.Dispatch(epoch, anyTarget))
	c.Release(epoch.Add(time.Millisecond), early, true)
	require.Equal(t, []*Ticket{late}, c.Dispatch(epoch.Add(time.Millisecond), anyTarget))
}

// Guards against a request being queued although its deadline cannot be met, and against a refusal without the proof
// that it did not run or without a time to come back.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	c := newController(1, 1, row("a", nil))
	now := epoch
	for range 20 {
		ticket := enter(t, c, now, "a", time.Second)
		c.Dispatch(now, anyTarget)
		now = now.Add(100 * time.Millisecond)
		c.Release(now, ticket, true)
	}
	enter(t, c, now, "a", time.Second)
	c.Dispatch(now, anyTarget)
	enter(t, c, now, "a", 500*time.Millisecond)
	_, why := c.Enqueue(now, "a", now.Add(150*time.Millisecond))
	require.NotNil(t, why)
	require.Equal(t, verdict.CodeDeadline, why.Code)
	require.Equal(t, verdict.NotRun, why.Err().Verdict)
	require.Positive(t, why.Err().RetryAfter)
}

// Guards against a request waiting for its whole deadline although every target is paused for longer.
func TestPausedTargetsRefuseAtOnce(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	c.SetCapacity(0, epoch.Add(500*time.Millisecond))
	_, why := c.Enqueue(epoch, "a", epoch.Add(400*time.Millisecond))
	require.Equal(t, verdict.CodeDeadline, why.Code)
	require.Equal(t, 100*time.Millisecond, why.RetryAfter)
	enter(t, c, epoch, "a", 600*time.Millisecond)
}

// Guards against a class being locked out for good by a service time that was measured in a slow period.
func TestSlowPeriodDoesNotLockOut(t *testing.T) {
	c := newController(1, 4, row("a", nil))
	slow := enter(t, c, epoch, "a", time.Second)
	c.Dispatch(epoch, anyTarget)
	now := epoch.Add(time.Minute)
	c.Release(now, slow, true)
	for range 3 {
		enter(t, c, now, "a", 100*time.Millisecond)
	}
	require.Len(t, c.Dispatch(now, anyTarget), 3)
}

// Guards against a queue that grows without bound, and against a class without a queue being refused while slots are free.
func TestQueueIsBounded(t *testing.T) {
	c := newController(1, 1, row("a", func(r *table.Row) { r.Queue = 0 }), row("b", func(r *table.Row) { r.Queue = 2 }))
	enter(t, c, epoch, "a", time.Second)
	require.Len(t, c.Dispatch(epoch, anyTarget), 1)
	_, why := c.Enqueue(epoch, "a", epoch.Add(time.Second))
	require.Equal(t, verdict.CodeLimited, why.Code)
	enter(t, c, epoch, "b", time.Second)
	enter(t, c, epoch, "b", time.Second)
	_, why = c.Enqueue(epoch, "b", epoch.Add(time.Second))
	require.Equal(t, verdict.CodeLimited, why.Code)
	require.Equal(t, 2, c.Waiting())
}

// Guards against a wave of cancellations losing slots, leaving entries behind or starting a cancelled request.
func TestCancellationWave(t *testing.T) {
	const slots, wave = 8, 10_000
	rng := rand.New(rand.NewPCG(3, 4))
	c := newController(1, slots, row("a", func(r *table.Row) { r.Queue = wave }), row("b", nil))
	tickets := make([]*Ticket, wave)
	for i := range tickets {
		tickets[i] = enter(t, c, epoch, "a", time.Second)
	}
	c.Dispatch(epoch, anyTarget)
	rng.Shuffle(wave, func(i, j int) { tickets[i], tickets[j] = tickets[j], tickets[i] })
	stillWaiting := 0
	for _, ticket := range tickets {
		if c.Cancel(epoch, ticket) {
			stillWaiting++
		}
	}
	require.Equal(t, wave-slots, stillWaiting)
	require.Zero(t, c.Waiting())
	require.Zero(t, c.InUse())
	require.Empty(t, c.Dispatch(epoch, anyTarget))
	b := enter(t, c, epoch, "b", time.Second)
	require.Equal(t, []*Ticket{b}, c.Dispatch(epoch, anyTarget))
	require.False(t, c.Cancel(epoch, tickets[0]), "a second cancellation changes nothing")
	require.Equal(t, 1, c.InUse())
}

// Guards against a class exceeding its part of the fleet's rate or concurrency, and against a change of the table that
// takes effect only for new classes.
func TestLimitsFollowTheTable(t *testing.T) {
	limited := func(concurrency int, rate float64) table.Row {
		return row("a", func(r *table.Row) { r.Concurrency, r.Rate = concurrency, rate })
	}
	c := newController(4, 100, limited(8, 0))
	now := epoch.Add(time.Second)
	for range 10 {
		enter(t, c, now, "a", time.Second)
	}
	require.Len(t, c.Dispatch(now, anyTarget), 2)
	c.SetTable(now, table.New(2, []table.Row{limited(20, 0)}))
	require.Len(t, c.Dispatch(now, anyTarget), 3)

	c = newController(4, 100, limited(0, 400))
	started := 0
	for step := range 1000 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
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
	require.InDelta(t, 1000, started, 11, "100 a second for 10 s, with one burst")
}

// Guards against a host that lost its authority starting requests.
func TestNoAuthorityRefuses(t *testing.T) {
	c := newController(1, 0, row("a", nil))
	ticket := enter(t, c, epoch, "a", time.Second)
	require.Equal(t, []*Ticket{ticket}, c.SetGrant(epoch, ownership.Grant{Epoch: 1}))
	require.Equal(t, verdict.CodeFenced, ticket.Refusal().Code)
	c.SetCapacity(8, time.Time{})
	_, why := c.Enqueue(epoch, "a", epoch.Add(time.Second))
	require.Equal(t, verdict.CodeFenced, why.Code)
	require.Equal(t, verdict.NotRun, why.Err().Verdict)
}

// Guards against requests of a removed class that wait for ever.
func TestRemovedClassRefusesItsQueue(t *testing.T) {
	c := newController(1, 0, row("a", nil), row("b", nil))
	ticket := enter(t, c, epoch, "a", time.Second)
	require.Equal(t, []*Ticket{ticket}, c.SetTable(epoch, table.New(2, []table.Row{row("b", nil)})))
	require.Equal(t, verdict.CodeNotFound, ticket.Refusal().Code)
	require.Zero(t, c.Waiting())
}

// Guards against a failed placement losing the request or spinning.
func TestFailedPlacementKeepsTheRequest(t *testing.T) {
	c := newController(1, 1, row("a", nil))
	ticket := enter(t, c, epoch, "a", time.Second)
	calls := 0
	require.Empty(t, c.Dispatch(epoch, func(*Ticket) bool { calls++; return false }))
	require.Equal(t, 1, calls)
	require.Equal(t, []*Ticket{ticket}, c.Dispatch(epoch, anyTarget))
}

// Guards against a request that is sent on although it would run at once, or although a limit of its class holds it back,
// which sending it on would get around.
func TestImmediateIsRefusedForSlotsOnly(t *testing.T) {
	row := func(name ident.ClassName, concurrency int) table.Row {
		return table.Row{Name: name, Kind: table.LatencyCritical, Weight: 1, Queue: 10, Concurrency: concurrency}
	}
	c := newController(1, 2, row("free", 0), row("limited", 1))
	deadline := epoch.Add(time.Hour)
	enter := func(name ident.ClassName) *Refusal {
		_, refusal := c.EnqueueImmediate(epoch, name, deadline)
		c.Dispatch(epoch, anyTarget)
		return refusal
	}
	require.Nil(t, enter("limited"), "a slot is free")
	require.Nil(t, enter("limited"), "its own limit holds it back, so that it waits")
	require.Equal(t, 1, c.Waiting())
	require.Equal(t, verdict.CodeBusy, enter("free").Code, "one slot is free, but a request waits")
	_, refusal := c.Enqueue(epoch, "free", deadline)
	require.Nil(t, refusal)
	c.Dispatch(epoch, anyTarget)
	require.Equal(t, 2, c.InUse())
	refused := enter("free")
	require.Equal(t, verdict.CodeBusy, refused.Code)
	require.Equal(t, verdict.NotRun, refused.Err().Verdict)
	require.Equal(t, 1, c.Waiting(), "a refused request is in no queue")
}
