package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// newClass is in newTable, which follows testTable, and in no other table.
const newClass ident.ClassName = "new"

var newTable = table.New(2, []table.Row{
	{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 3, Evictions: 100},
	{Name: newClass, Kind: table.Batch, Tenant: "other", Retries: 7},
})

func newClassSpec(number uint64) lifecycle.JobSpec {
	s := numberedSpec(number)
	s.Class = newClass
	return s
}

// Guards against an acknowledged job that is shown as failed although none of its tasks was started: the next owner has an
// older or a newer table than the host that acknowledged it, which has the class, or lacks it.
func TestAcknowledgedJobRunsWhateverTheTableOfTheNextOwner(t *testing.T) {
	withoutClasses := table.New(3, nil)
	for name, tc := range map[string]struct{ entry, owner, later *table.Table }{
		"class added":                     {newTable, testTable, newTable},
		"class added, no host tells":      {newTable, testTable, testTable},
		"class added and removed again":   {newTable, withoutClasses, withoutClasses},
		"class added, removed meanwhile":  {newTable, testTable, withoutClasses},
		"owner has the class, and newer":  {newTable, newTable, withoutClasses},
		"acknowledged before the removal": {newTable, withoutClasses, newTable},
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 4, func(fx *fixture, entry *entryHost) {
				entry.svc.SetTable(tc.entry)
				id := entry.place(newClassSpec(1))
				owner := fx.inboxHost(nil)
				owner.svc.SetTable(tc.owner)
				fx.giveCell(owner)
				entry.setOwner(owner, linkUp)
				time.Sleep(500 * time.Millisecond)
				entry.place(newClassSpec(1))
				owner.svc.SetTable(tc.later)
				fx.requireRanOnce(owner, id)
				entry.place(newClassSpec(1))
				v := owner.get(id)
				require.Equal(t, ident.TenantName("other"), v.Spec.Tenant)
				require.Equal(t, 8, v.Spec.MaxFailures)
			})
		})
	}
}

// Guards against a job of a new class that is refused for good because the owner reads the table later than the host that
// callers use, and against the refusal of its repeat once the class has been removed.
func TestOwnerAcceptsClassesOfNewerTables(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		entry.svc.SetTable(newTable)
		owner := fx.ownerHost(entry)
		id := entry.place(newClassSpec(1))
		require.Zero(t, entry.svc.Stats().InboxWritten.Load())
		fx.requireRanOnce(owner, id)
		owner.svc.SetTable(table.New(3, nil))
		time.Sleep(time.Second)
		entry.place(newClassSpec(1))
		_, err := entry.tryPlace(newClassSpec(2))
		requireCode(t, verdict.CodeInvalid, err)
		requireVerdict(t, verdict.NotRun, err)
		fx.requireRanOnce(owner, id)
	})
}

// Guards against an acknowledged job of an earlier release, whose entry does not say what the table said of its class, that
// is shown as failed.
func TestEntryWithoutResolvedClassRuns(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		fx.writeEntry(newClassSpec(1))
		fx.requireRanOnce(fx.ownerHost(entry), ident.CallerAssignedJobID(cell, 1))
	})
}

// Guards against an acknowledged job that is shown as failed because the owner has yet to learn of the worker that can hold
// it.
func TestAcknowledgedJobAwaitsALargerWorker(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		fx.unlistedWorker = "w9"
		fx.fleet["w9"] = worker.New(worker.Config{ID: "w9", Rack: "rack9", Capacity: workerCapacity.Add(workerCapacity), Recorder: fx.recorder})
		large := numberedSpec(1)
		large.Groups[0].Need = resource.Vector{MilliCPU: 2 * workerCapacity.MilliCPU}
		id := entry.place(large)
		owner := fx.slowOwnerHost(entry, 500*time.Millisecond)
		time.Sleep(4 * time.Second)
		v := owner.get(id)
		require.Equal(t, lifecycle.Impossible, v.State)
		require.Contains(t, v.Tasks[0].Reason, "ends as failed unless")
		owner.setDelay(0)
		fx.unlistedWorker = ""
		owner.svc.SetMembers(cell, fx.members())
		fx.requireRanOnce(owner, id)
	})
}

// Guards against a job that runs although its call was refused for good: the owner refuses a class that it does not know
// before it has read the inbox, where an earlier call has left the job.
func TestUnknownClassIsNotRefusedForGoodBeforeTheInboxIsRead(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		entry.svc.SetTable(newTable)
		id := entry.place(newClassSpec(1))
		owner := fx.inboxHost(nil)
		owner.svc.SetTable(table.New(3, nil))
		owner.setDelay(500 * time.Millisecond)
		fx.giveCell(owner)
		_, err := owner.svc.Submit(bg, cell, newClassSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		owner.setDelay(0)
		fx.requireRanOnce(owner, id)
	})
}

// Guards against a repeat that is refused, although the job is in the inbox, by a host that has not read the table with its
// class.
func TestRepeatAtAHostWithoutTheClassFindsTheEntry(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		entry.svc.SetTable(newTable)
		id := entry.place(newClassSpec(1))
		entry.svc.SetTable(testTable)
		entry.place(newClassSpec(1))
		_, err := entry.tryPlace(newClassSpec(2))
		requireVerdict(t, verdict.MayHaveRun, err)
		fx.requireRanOnce(fx.ownerHost(entry), id)
	})
}
