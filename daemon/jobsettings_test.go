package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// Guards against a task that lasts and is not started in time after its worker and the owner of its cell were lost
// together: the platform wants it to run 9 s after it stopped where workers grant leases of 6 s.
func TestTasksOfALostOwnerAndWorkerStartInTime(t *testing.T) {
	const (
		longestAbsence = 9 * time.Second
		// acquiring covers the transaction of the claim, the read of the log and the first run of the planner.
		acquiring = 300 * time.Millisecond
	)
	s := JobSettings{WorkerLease: 6 * time.Second, SmallestLease: time.Second}
	owning, policy := ownership.ConfigForTTL(s.leaseTime()), s.policy()
	// Two more preferred members may have been lost too, or be too new to claim.
	claimed := owning.TTL + max(owning.PresumeStoppedAfter, 2*owning.RankStep)
	started := claimed + acquiring + policy.LeaseDuration + policy.LeaseMargin
	require.LessOrEqual(t, started, longestAbsence)
}

// Guards against leases that lapse on workers before a successor can renew them: it claims the cell when the lease of the
// lost owner has ended, and the owner renewed them one sync before it was lost.
func TestSuccessorRenewsBeforeLeasesLapse(t *testing.T) {
	s := JobSettings{WorkerLease: 6 * time.Second, SmallestLease: time.Second}
	owning := ownership.ConfigForTTL(s.leaseTime())
	require.Less(t, owning.TTL+2*owning.RankStep+owning.SettleWait, s.WorkerLease-jobSyncWait-jobSyncGap)
}
