package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against contradicting times for some time to live: a claim that settles while a report of the owner is still
// valid, or a host that presumes another stopped while that one may still renew.
func TestConfigForTTLKeepsOrderOfTimes(t *testing.T) {
	for _, ttl := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 9 * time.Second, 30 * time.Second} {
		c := ConfigForTTL(ttl)
		require.Less(t, c.Margin, c.TTL)
		require.Less(t, c.ReportMaxAge, c.TTL)
		require.Greater(t, c.SettleWait, c.ReportMaxAge)
		require.GreaterOrEqual(t, c.ContactWait, c.TTL+c.ReportMaxAge)
		require.GreaterOrEqual(t, c.AckWait, c.TTL)
		require.Positive(t, c.DoubtLimit)
		require.LessOrEqual(t, c.DoubtLimit, c.Margin, "renewals must end with the lease")
		require.Positive(t, c.PresumeStoppedAfter, "clocks run at different rates")
		require.GreaterOrEqual(t, c.ContactWait, c.ReportMaxAge+c.DoubtLimit, "reports from an outage may be valid after its end")
		require.Less(t, c.ContactTimeout, c.TTL)
	}
}

// Guards against cells that nobody may claim because a host was removed for good, and against a host that counts as
// stopped while it holds a lease or while this host cannot know.
func TestHostWithoutLeaseCountsAsStopped(t *testing.T) {
	a := newAbsence(t)
	a.advance(10*time.Second, true)
	a.requireStopped(false, "it holds a lease")
	a.advance(10*time.Second, false)
	a.m.SetMembers(nil, a.now)
	a.advance(10*time.Second, false)
	a.requireStopped(false, "this host has no store contact")
	a.advance(a.cfg.ContactWait+a.cfg.PresumeStoppedAfter-200*time.Millisecond, true)
	a.requireStopped(false, "it may have renewed tasks because reports said that nobody reached the store")
	a.advance(500*time.Millisecond, true)
	a.requireStopped(true, "")
	a.m.SetMembers([]Member{{Instance: a.other}}, a.now)
	a.requireStopped(false, "it holds a lease again")
	require.Contains(t, a.m.KnownInstances(), a.other)
}

// Guards against tasks of lost workers that wait for longer than their leases and that of their owner, if the owner is
// lost as well: while this host hears from the store, an owner whose lease has ended renews nothing.
func TestHostWhoseLeaseEndsCountsAsStoppedAtOnce(t *testing.T) {
	a := newAbsence(t)
	a.advance(10*time.Second, true)
	a.m.SetMembers(nil, a.now)
	a.advance(a.cfg.TTL/4, true)
	a.requireStopped(true, "")
}

// Guards against a newcomer that presumes an owner stopped at once: the owner may not know the newcomer, and may have
// full authority because all members that it knows report no store contact.
func TestNewcomerPresumesStoppedLater(t *testing.T) {
	a := newAbsence(t)
	a.m.established = false
	a.advance(10*time.Second, true)
	a.m.SetMembers(nil, a.now)
	a.advance(2*a.cfg.TTL-500*time.Millisecond, true)
	a.requireStopped(false, "")
	a.advance(time.Second, true)
	a.requireStopped(true, "its host may have been removed for good")
}

// Guards against a successor that waits for reports to expire although the owner's lease has ended and this host has
// had store contact for long, and against one that does not wait although reports from an outage may still be valid.
func TestSuccessorOfHostWithoutLeaseWaitsForClockMargin(t *testing.T) {
	for _, long := range []bool{true, false} {
		a := newAbsence(t)
		a.advance(time.Second, true)
		if long {
			a.advance(10*time.Second, true)
		}
		a.m.SetMembers(nil, a.now)
		lapsed := a.now
		v := a.m.views[1]
		v.replaced = Record{Holder: a.other}
		v.epoch, v.currentLease = 9, 7
		v.current = Record{Holder: a.cfg.Self, ShareShift: 1, Unconfirmed: []Predecessor{{Instance: a.other}}}
		a.m.adopt(v, a.now)
		from := a.m.Holding(1).From
		if long {
			require.Equal(t, lapsed.Add(a.cfg.PresumeStoppedAfter), from)
		} else {
			require.Equal(t, lapsed.Add(a.cfg.SettleWait), from)
		}
	}
}

// Guards against a host that is known only after the leased records were read and that never counts as stopped, because
// nothing changes after that.
func TestHostThatIsKnownLateCountsAsStopped(t *testing.T) {
	for _, rosterFirst := range []bool{true, false} {
		a := newAbsence(t)
		a.m = New(a.cfg, a.now)
		if rosterFirst {
			a.m.SetRoster([]RosterEntry{{Instance: a.other, Order: 1}}, a.now, a.now)
			a.advance(a.cfg.NewcomerPresumeStoppedAfter+time.Second, true)
			a.requireStopped(false, "whether it holds a lease is not known")
			a.m.SetMembers(nil, a.now)
		} else {
			a.m.SetMembers(nil, a.now)
			a.m.SetRoster([]RosterEntry{{Instance: a.other, Order: 1}}, a.now, a.now)
		}
		a.advance(a.cfg.NewcomerPresumeStoppedAfter-500*time.Millisecond, true)
		a.requireStopped(false, "its owner may not know this host")
		a.advance(time.Second, true)
		a.requireStopped(true, "")
	}
}

// Guards against an earlier process of a host that counts as running for good, because this host hears of it only after its
// successor: reports of other members, which do not know it, then prove nothing.
func TestEarlierIncarnationThatIsKnownLateHasStopped(t *testing.T) {
	for _, earlierFirst := range []bool{true, false} {
		a := newAbsence(t)
		a.m = New(a.cfg, a.now)
		next := ident.Instance{Host: a.other.Host, Incarnation: a.other.Incarnation + 1}
		if earlierFirst {
			a.m.AddInstances(a.other)
		}
		a.m.InstancesRun([]ident.Instance{next}, a.cfg.MaxDeadline, a.now)
		a.m.SetRoster([]RosterEntry{{Instance: a.other, Order: 1}}, a.now, a.now)
		require.Equal(t, []ident.Instance{a.cfg.Self, next}, a.m.KnownInstances())
		a.requireStopped(true, "")
	}
}

// absenceFixture is a host that knows one other host.
type absenceFixture struct {
	t     *testing.T
	cfg   Config
	m     *Machine
	now   time.Time
	other ident.Instance
}

func newAbsence(t *testing.T) *absenceFixture {
	a := &absenceFixture{
		t: t, cfg: ConfigForTTL(3 * time.Second), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		other: ident.Instance{Host: "b", Incarnation: 1},
	}
	a.cfg.Self = ident.Instance{Host: "a", Incarnation: 1}
	a.cfg.Cells = []Cell{{ID: 1}}
	a.m = New(a.cfg, a.now)
	a.m.StoreAnswered(a.now)
	a.m.AddInstances(a.other)
	a.m.SetMembers([]Member{{Instance: a.other}}, a.now)
	a.m.established = true
	return a
}

func (a *absenceFixture) advance(d time.Duration, contact bool) {
	for end := a.now.Add(d); a.now.Before(end); {
		a.now = a.now.Add(100 * time.Millisecond)
		if contact {
			a.m.StoreAnswered(a.now)
		}
		a.m.Step(a.now)
	}
}

func (a *absenceFixture) requireStopped(stopped bool, why string) {
	a.t.Helper()
	require.Equal(a.t, stopped, a.m.StoppedInstances().Contains(a.other), why)
}
