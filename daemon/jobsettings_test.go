package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// Guards against a long-running task that starts too late on another worker after its worker and the owner of its
// cell were lost together. The platform requires it to run again within 9 s if workers grant leases of 6 s. However long
// leases they grant, it must run again 12 s after the loss, of which the restart of many tasks takes 3 s.
func TestTasksOfALostOwnerAndWorkerStartInTime(t *testing.T) {
	const (
		longestAbsence = 9 * time.Second
		// acquireTime is the time for the claim transaction, the read of the cell log and the first run of the planner.
		acquireTime = 300 * time.Millisecond
	)
	for _, workerLease := range []time.Duration{6 * time.Second, 10 * time.Second, time.Minute} {
		s := JobSettings{WorkerLease: workerLease, LongestStandstill: DefaultLongestStandstill, SmallestLease: time.Second}
		ownershipConfig, policy := ownership.ConfigForTTL(s.leaseTime()), s.policy()
		// Two members that are preferred as owners may have been lost too, or may be too new to claim.
		claimed := ownershipConfig.TTL + max(ownershipConfig.PresumeStoppedAfter, 2*ownershipConfig.RankStep)
		started := claimed + acquireTime + policy.LeaseDuration + policy.LeaseMargin
		require.LessOrEqual(t, started, longestAbsence, "worker lease %s", workerLease)
	}
}

// Guards against a default that shortens leases of 6 s, and with them the cuts of workers that tasks survive.
func TestLongestStandstillKeepsShortLeases(t *testing.T) {
	for _, standstill := range []time.Duration{0, DefaultLongestStandstill} {
		s := JobSettings{WorkerLease: 6 * time.Second, LongestStandstill: standstill, SmallestLease: time.Second}
		require.Equal(t, s.WorkerLease, s.TaskLease())
	}
}

// Guards against leases of tasks that end before a successor can renew them. The successor claims the cell when the
// lease of the lost owner has ended, and the owner renewed the leases of tasks one sync before it was lost.
func TestSuccessorRenewsBeforeLeasesLapse(t *testing.T) {
	for _, s := range []JobSettings{
		{WorkerLease: 6 * time.Second, SmallestLease: time.Second},
		{WorkerLease: 10 * time.Second, SmallestLease: time.Second, LongestStandstill: DefaultLongestStandstill},
		{WorkerLease: 10 * time.Second, SmallestLease: time.Second, LongestStandstill: minLongestStandstill},
	} {
		ownershipConfig := ownership.ConfigForTTL(s.leaseTime())
		require.Less(t, ownershipConfig.TTL+2*ownershipConfig.RankStep+ownershipConfig.SettleWait, s.TaskLease()-jobSyncWait-jobSyncGap)
	}
	require.Error(t, CheckLongestStandstill(minLongestStandstill-time.Second))
}

// Guards against leases of tasks that are shorter than a change of owner takes, or negative, if the store grants only long
// leases: every such change would end all tasks.
func TestLongLeasesOfTheStoreLeaveLeasesOfTasksThatCanBeRenewed(t *testing.T) {
	for _, smallest := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second} {
		s := JobSettings{WorkerLease: time.Minute, SmallestLease: smallest, LongestStandstill: DefaultLongestStandstill}
		c := ownership.ConfigForTTL(s.leaseTime())
		require.Less(t, c.TTL+2*c.RankStep+c.SettleWait, s.TaskLease()-jobSyncWait-jobSyncGap, "smallest lease %s", smallest)
	}
}

// Load: an owner is lost while clients hand jobs in, each of which repeats its call for 2.7 s. Guards against a successor that
// accepts jobs only after that, where workers grant long leases.
func TestSuccessorAcceptsJobsWhileClientsRepeatTheirCalls(t *testing.T) {
	const (
		clientPatience = 2700 * time.Millisecond
		acquireTime    = 300 * time.Millisecond
	)
	for _, workerLease := range []time.Duration{6 * time.Second, 10 * time.Second, time.Minute} {
		s := JobSettings{WorkerLease: workerLease, SmallestLease: time.Second}
		c := ownership.ConfigForTTL(s.leaseTime())
		require.LessOrEqual(t, c.TTL+2*c.RankStep+acquireTime, clientPatience, "worker lease %s", workerLease)
	}
}
