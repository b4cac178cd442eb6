package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against times that contradict each other for some time to live: a claim that settles before a report of an owner
// has expired, or a host that presumes another stopped while that one may still renew.
func TestConfigForKeepsTheOrderOfTimes(t *testing.T) {
	for _, ttl := range []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
		c := ConfigFor(ttl)
		require.Less(t, c.Margin, c.TTL)
		require.Less(t, c.ReportFresh, c.TTL)
		require.Greater(t, c.SettleWait, c.ReportFresh)
		require.GreaterOrEqual(t, c.ContactWait, c.TTL+c.ReportFresh)
		require.GreaterOrEqual(t, c.AckWait, c.TTL)
		require.GreaterOrEqual(t, c.GoneAfter, 2*c.TTL)
		require.Less(t, c.ContactBreak, c.TTL)
	}
}

// Guards against cells that nobody may claim because a host was removed for good, and against a host that counts as
// stopped while it holds a lease, or while this host cannot know.
func TestHostWithoutLeaseCountsAsStopped(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := ConfigFor(3 * time.Second)
	c.Self = ident.Instance{Host: "a", Incarnation: 1}
	other := ident.Instance{Host: "b", Incarnation: 1}
	m := New(c, now)
	wait := func(d time.Duration, contact bool) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			if contact {
				m.Contact(now)
			}
			m.Step(now)
		}
	}
	m.Contact(now)
	m.Learn(other)
	m.SetMembers([]Member{{Instance: other}}, now)
	wait(10*time.Second, true)
	require.False(t, m.Ended().Gone(other), "it holds a lease")
	m.SetMembers(nil, now)
	wait(10*time.Second, false)
	require.False(t, m.Ended().Gone(other), "this host has not heard of the store")
	wait(c.GoneAfter-time.Second, true)
	require.False(t, m.Ended().Gone(other))
	wait(1500*time.Millisecond, true)
	require.True(t, m.Ended().Gone(other))
	m.SetMembers([]Member{{Instance: other}}, now)
	require.False(t, m.Ended().Gone(other), "it holds a lease again")
	require.Contains(t, m.Known(), other)
}
