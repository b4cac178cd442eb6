package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

var t0 = time.Unix(1e9, 0)

func at(seconds float64) time.Time {
	return t0.Add(time.Duration(seconds * float64(time.Second)))
}

func instance(host string) ident.Instance {
	return ident.Instance{Host: ident.HostID(host), Incarnation: 1}
}

// newMachine returns a host that has read the roster, holds a lease renewed at t0 and knows the given members.
func newMachine(host string, known ...string) *Machine {
	cfg := DefaultConfig()
	cfg.Self, cfg.DataCentre = instance(host), "dc"
	cfg.Cells = []Cell{{ID: 1, DataCentre: "dc"}}
	m := New(cfg, at(-60))
	m.StoreAnswered(at(-30))
	for s := -30.0; s <= 0; s++ {
		m.StoreAnswered(at(s))
	}
	m.LeaseRenewed(7, t0)
	m.SetMembers([]Member{{Instance: instance(host), DataCentre: "dc"}}, at(-30))
	for _, k := range known {
		m.AddInstances(instance(k))
	}
	m.SetRoster(nil, t0, t0)
	m.registered = true
	return m
}

// newOwner returns a machine that has held cell 1 since t0.
func newOwner(host string, known ...string) *Machine {
	m := newMachine(host, known...)
	m.SetOwner(1, &LeasedRecord{Record: Record{Holder: instance(host)}, Epoch: 5, Lease: 7}, 5, t0)
	m.SetLastingRecord(1, Record{Holder: instance(host)}, 5)
	return m
}

// reportWithContactAge returns a report of an established member whose last answer from the store is contactAge old.
func reportWithContactAge(m *Machine, from string, contactAge time.Duration) Report {
	return Report{From: instance(from), Established: true, Contacts: 3, ContactAge: contactAge, KnownDigest: m.knownDigest()}
}

// Guards against an owner that relies on reports which do not exclude a successor. Each case is the smallest one for
// its rule. The lease lapses at second 8.
func TestOnlyReliableReportsKeepFullAuthority(t *testing.T) {
	cases := map[string]struct {
		receive func(m *Machine)
		want    Authority
	}{
		"no contact since before the lapse": {func(m *Machine) { m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(10), at(10)) }, Full},
		"no contact ever": {func(m *Machine) {
			r := reportWithContactAge(m, "b", 0)
			r.Contacts = 0
			m.ReportReceived(r, at(10), at(10))
		}, Full},
		"no report":               {func(*Machine) {}, InDoubt},
		"contact after the lapse": {func(m *Machine) { m.ReportReceived(reportWithContactAge(m, "b", time.Second), at(10), at(10)) }, InDoubt},
		"old report":              {func(m *Machine) { m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(9), at(9.5)) }, InDoubt},
		"report long in transit":  {func(m *Machine) { m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(9), at(10)) }, InDoubt},
		"member unknown to the reporter or to the owner": {func(m *Machine) {
			r := reportWithContactAge(m, "b", 9*time.Second)
			r.KnownDigest++
			m.ReportReceived(r, at(10), at(10))
		}, InDoubt},
		"new contact after a report without contact since the lapse": {func(m *Machine) {
			m.ReportReceived(reportWithContactAge(m, "b", 8*time.Second), at(9), at(9))
			r := reportWithContactAge(m, "b", time.Second)
			r.Contacts++
			m.ReportReceived(r, at(10), at(10))
		}, InDoubt},
		"roster never read": {func(m *Machine) {
			m.rosterStale = true
			m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(10), at(10))
		}, InDoubt},
		"cell held under an earlier lease": {func(m *Machine) {
			m.LeaseRenewed(8, at(9.9))
		}, InDoubt},
		"record deleted": {func(m *Machine) {
			m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(10), at(10))
			m.SetOwner(1, nil, 6, at(10))
		}, InDoubt},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newOwner("a", "b")
			require.Equal(t, Full, m.Grant(1, at(7.9)).Authority)
			require.Equal(t, InDoubt, m.Grant(1, at(8)).Authority)
			c.receive(m)
			require.Equal(t, c.want, m.Grant(1, at(10)).Authority)
		})
	}
}

// Guards against an owner that denies a job which came through the inbox of its cell: its lease lapses at second 9, and a member
// that was asked at second 8.5 reaches the store and claims the cell then, while its report is still valid.
func TestReportsProveNothingAboutTheTimeAfterThem(t *testing.T) {
	m := newOwner("a", "b", "c")
	m.ReportReceived(reportWithContactAge(m, "b", 7*time.Second), at(7.5), at(7.5))
	require.True(t, m.Grant(1, at(7.9)).WasExclusiveAt(at(7.9)), "the lease is proof")
	m.ReportReceived(reportWithContactAge(m, "b", time.Second), at(8.5), at(8.6))
	m.ReportReceived(reportWithContactAge(m, "c", time.Second), at(8.8), at(8.9))
	g := m.Grant(1, at(9.2))
	require.Equal(t, Full, g.Authority)
	require.True(t, g.WasExclusiveAt(at(8.5)))
	require.False(t, g.WasExclusiveAt(at(8.6)), "the oldest report counts")
	require.False(t, m.Grant(1, at(9.6)).WasExclusiveAt(at(8.5)), "the authority is in doubt")
	sole := newOwner("a")
	require.True(t, sole.Grant(1, at(9.2)).WasExclusiveAt(at(9.2)), "no other member can claim the cell")
}

// Guards against clock drift that ends full authority in an outage of many hours.
func TestReportsWithoutContactCountForHours(t *testing.T) {
	m := newOwner("a", "b")
	m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(10), at(10))
	const hours = 30 * 3600
	m.ReportReceived(reportWithContactAge(m, "b", (hours-60)*time.Second), at(hours), at(hours))
	require.Equal(t, Full, m.Grant(1, at(hours)).Authority)
}

// Guards against an owner that forgets a member which may have acknowledged a host unknown to the owner: that host
// could claim the cell while all members known to the owner are out of contact with the store.
func TestStoppedMemberMayHaveSponsoredAnother(t *testing.T) {
	for _, c := range []struct {
		stopped float64
		want    Authority
	}{{15, Full}, {21, InDoubt}} {
		m := newOwner("a", "b", "c")
		m.ReportReceived(reportWithContactAge(m, "b", 9*time.Second), at(10), at(10))
		m.InstanceStopped(instance("b"), 0, at(c.stopped))
		m.ReportReceived(reportWithContactAge(m, "c", 30*time.Second), at(30), at(30))
		require.Equal(t, c.want, m.Grant(1, at(30)).Authority, "stopped at %v", c.stopped)
		m.SetRoster(nil, at(31), at(31))
		m.ReportReceived(reportWithContactAge(m, "c", 31*time.Second), at(31), at(31))
		require.Equal(t, Full, m.Grant(1, at(31)).Authority)
	}
}

// Guards against a new member that claims cells before every owner can know of it.
func TestNewMemberNeedsLongAcknowledgement(t *testing.T) {
	m := newMachine("n", "a", "b", "c")
	m.registered = false
	m.ReportReceived(reportWithContactAge(m, "a", 0), at(-30), at(-30))
	m.ReportReceived(reportWithContactAge(m, "a", 0), at(-20), at(-20))
	require.False(t, m.Established(), "a host that reads the roster now would not know of this one")
	m.registered = true
	unestablished := reportWithContactAge(m, "c", 0)
	unestablished.Established = false
	m.ReportReceived(unestablished, at(-20), at(-20))
	m.ReportReceived(unestablished, t0, t0)
	m.ReportReceived(reportWithContactAge(m, "a", 0), t0, t0)
	m.ReportReceived(reportWithContactAge(m, "a", 0), at(9.9), at(10.1))
	require.False(t, m.Established(), "the call was sent before the wait had passed")
	m.ReportReceived(reportWithContactAge(m, "b", 0), at(11), at(11))
	require.False(t, m.Established(), "b acknowledged this host only now")
	m.ReportReceived(reportWithContactAge(m, "a", 0), at(11), at(11))
	require.True(t, m.Established())
}

// Guards against a host that establishes itself as the first member although owners run that are cut off from the store
// and whose leased records are therefore gone.
func TestFirstMemberNeedsProofAboutRoster(t *testing.T) {
	roster := []RosterEntry{{instance("a"), 1}, {instance("n"), 2}, {instance("z"), 3}}
	m := newMachine("n")
	m.SetRoster(roster, at(1), at(1))
	require.False(t, m.Established())
	r := reportWithContactAge(m, "z", 0)
	r.Established = false
	m.ReportReceived(r, at(2), at(2))
	m.SetRoster(roster, at(2), at(2))
	require.False(t, m.Established(), "no report of a has arrived")
	first := r
	first.From = instance("a")
	m.AddInstances(instance("a"))
	first.KnownDigest = m.knownDigest()
	m.ReportReceived(first, at(2), at(2))
	m.SetRoster(roster, at(2), at(2))
	require.False(t, m.Established(), "host a registered earlier and must be established first")
	m.InstanceStopped(instance("a"), 0, at(2))
	m.SetRoster(roster, at(3), at(3.1))
	require.False(t, m.Established(), "the report of z is old")
	m.ReportReceived(r, at(4), at(4))
	m.SetRoster(roster, at(4), at(4))
	require.True(t, m.Established())
	other := newMachine("y")
	other.InstanceStopped(instance("a"), 0, t0)
	other.ReportReceived(reportWithContactAge(other, "z", 0), t0, t0)
	other.SetRoster([]RosterEntry{{instance("a"), 1}, {instance("y"), 2}, {instance("z"), 3}}, t0, t0)
	require.False(t, other.Established(), "z is established and may rely on others")
}

// claimFromSilentOwner returns an established host that has claimed cell 1 from the silent owner a at second 5.
func claimFromSilentOwner(t *testing.T) *Machine {
	m := newMachine("b", "a")
	m.SetLastingRecord(1, Record{Holder: instance("a")}, 5)
	require.Empty(t, m.Step(at(5)), "not established")
	m.established = true
	actions := m.Step(at(5))
	require.Len(t, actions, 1)
	want := Record{Holder: instance("b"), ShareShift: 1, Unconfirmed: []Predecessor{{instance("a"), 1}}}
	require.Equal(t, Action{Kind: Claim, Cell: 1, LastingRevision: 5, Lease: 7, Record: want}, actions[0])
	require.Empty(t, m.Step(at(5)), "one transaction at a time")
	m.TransactionDone(actions[0], store.Applied, 20, at(5))
	return m
}

// Guards against a successor that has authority while reports made before its claim are still valid for the owner, or
// that uses slots which requests of the owner may still hold.
func TestSuccessorWaitsForAuthorityAndSlots(t *testing.T) {
	m := claimFromSilentOwner(t)
	require.Equal(t, None, m.Grant(1, at(6.4)).Authority)
	g := m.Grant(1, at(6.5))
	require.Equal(t, Full, g.Authority)
	require.Equal(t, uint8(1), g.ShareShift)
	require.Zero(t, g.ShareOf(8, at(36.4)))
	require.Equal(t, 4, g.ShareOf(8, at(36.5)))
}

// Guards against a share that grows while requests of the fenced predecessor may still hold slots, and against
// predecessors that are never fenced.
func TestConfirmedPredecessorDoublesShare(t *testing.T) {
	m := claimFromSilentOwner(t)
	actions := m.Step(at(6))
	require.Equal(t, []Action{{Kind: FencePredecessor, Cell: 1, Epoch: 20, Target: instance("a")}}, actions)
	m.PredecessorConfirmed(1, instance("a"), time.Second, at(6))
	require.Empty(t, m.Step(at(6.9)))
	actions = m.Step(at(7))
	require.Len(t, actions, 1)
	require.Equal(t, Update, actions[0].Kind)
	m.TransactionDone(actions[0], store.Unknown, 0, at(7))
	require.Equal(t, uint8(1), m.Grant(1, at(7)).ShareShift, "the record may not have been written")
	m.TransactionDone(m.Step(at(7))[0], store.Applied, 21, at(7))
	require.Zero(t, m.Grant(1, at(7)).ShareShift)
}

// Guards against adopting a claim whose answer was lost from a lagging watch, after a successor was told that this host
// has yielded.
func TestFencedEpochIsNotAdopted(t *testing.T) {
	late := &LeasedRecord{Record: Record{Holder: instance("a")}, Epoch: 10, Lease: 7}
	m := newMachine("a", "b")
	require.True(t, m.Fence(1, 30))
	m.SetOwner(1, late, 10, at(1))
	require.Equal(t, None, m.Grant(1, at(1)).Authority)
	unfenced := newMachine("a", "b")
	unfenced.SetOwner(1, late, 10, at(1))
	require.Equal(t, Full, unfenced.Grant(1, at(1)).Authority)
	require.False(t, unfenced.Fence(1, 9), "an older owner cannot fence a newer one")
}

// Guards against shares that add up to more than the cell along a chain of successors and confirmations.
func TestSharesOfSuccessorChainsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stopped := map[ident.Instance]bool{}
		last := Record{Holder: instance("h0")}
		for i := range rapid.IntRange(1, 40).Draw(t, "successors") {
			for j := range i {
				if rapid.IntRange(0, 9).Draw(t, "stopped") == 0 {
					stopped[instance(fmt.Sprint("h", j))] = true
				}
			}
			remaining := remainingPredecessors(last, func(i ident.Instance) bool { return stopped[i] })
			last = Record{Holder: instance(fmt.Sprint("h", i+1)), ShareShift: largestShareBeside(remaining), Unconfirmed: remaining}
			sum := units(last.ShareShift)
			for _, p := range remaining {
				sum += units(p.ShareShift)
			}
			require.LessOrEqual(t, sum, units(0))
		}
	})
}

// Guards against a member that takes a cell right after its store contact returns, before the owner can renew its
// lease.
func TestClaimNeedsContinuousContact(t *testing.T) {
	m := newMachine("b", "a")
	m.established = true
	m.SetLastingRecord(1, Record{Holder: instance("a")}, 5)
	m.StoreAnswered(at(10))
	m.LeaseRenewed(7, at(10))
	require.Empty(t, m.Step(at(10)))
	for s := 13.0; s <= 19; s += 3 {
		m.StoreAnswered(at(s))
		m.LeaseRenewed(7, at(s))
	}
	require.Empty(t, m.Step(at(19.9)))
	require.Len(t, m.Step(at(20)), 1)
}

// Guards against an owner that keeps a cell after another owner came and went unnoticed, and against old records from a
// lagging watch that replace newer ones.
func TestNewerRecordOfAnotherOwnerEndsHolding(t *testing.T) {
	m := newOwner("a", "b")
	m.SetLastingRecord(1, Record{Holder: instance("b"), ShareShift: 1}, 30)
	require.Equal(t, None, m.Grant(1, at(1)).Authority)

	m = newOwner("a", "b")
	m.SetOwner(1, nil, 4, at(1))
	require.Equal(t, Full, m.Grant(1, at(1)).Authority)
	i, epoch, ok := m.Owner(1)
	require.True(t, ok)
	require.Equal(t, instance("a"), i)
	require.Equal(t, ident.Epoch(5), epoch)
}

// Guards against a cell that is released before it has drained, or that is handed to a member as soon as it appears.
func TestHandOverWaitsForLeaseAndDrain(t *testing.T) {
	m := newOwner("a")
	var preferred string
	for i := range 100 {
		preferred = fmt.Sprint("x", i)
		both := []Member{{Instance: instance("a"), DataCentre: "dc"}, {Instance: instance(preferred), DataCentre: "dc"}}
		if Rank(m.cfg.Cells[0], both)[0].Instance == instance(preferred) {
			m.SetMembers(both, at(1))
			break
		}
	}
	require.Empty(t, m.Step(at(5.9)))
	require.Equal(t, []Action{{Kind: HandOver, Cell: 1, Epoch: 5}}, m.Step(at(6)))
	require.Empty(t, m.Step(at(6)))
	require.Equal(t, Full, m.Grant(1, at(6)).Authority, "requests in progress still need their slots")
	m.CellDrained(1, 5)
	require.Equal(t, None, m.Grant(1, at(6)).Authority)
	actions := m.Step(at(6))
	require.Len(t, actions, 1)
	require.Equal(t, Release, actions[0].Kind)
	require.True(t, actions[0].Record.unused())
}

// Guards against a leaving host that does not announce its departure before another host has claimed its cell: its lease ran
// out during the drain, so that there is no record left to release. The others waited as for an owner that may still run.
func TestDrainedCellWithoutARecordIsNotHeld(t *testing.T) {
	for name, steps := range map[string][]func(m *Machine){
		"lost, then drained": {
			func(m *Machine) { m.LeaseLost(); m.SetOwner(1, nil, 9, at(10)) },
			func(m *Machine) { m.CellDrained(1, 5) },
		},
		"drained, then lost": {
			func(m *Machine) { m.CellDrained(1, 5) },
			func(m *Machine) { m.LeaseLost(); m.SetOwner(1, nil, 9, at(10)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newOwner("a", "b")
			m.SetLeaving()
			require.Equal(t, []Action{{Kind: HandOver, Cell: 1, Epoch: 5}}, m.Step(at(1)))
			for _, step := range steps {
				require.NotEmpty(t, m.HeldCells())
				step(m)
			}
			require.Empty(t, m.HeldCells())
			require.Empty(t, m.Step(at(11)), "a leaving host claims nothing")
			require.Equal(t, None, m.Grant(1, at(11)).Authority)
		})
	}
}
