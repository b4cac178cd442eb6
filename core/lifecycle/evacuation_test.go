package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// newTwoCentreFixture returns a cell with workers n0, n1 and so on in nelson and p0, p1 and so on in picton.
func newTwoCentreFixture(t *testing.T, each int) *fixture {
	f := newFixture(t, 1)
	f.c.policy.AwaitEvacuations = true
	var members []Member
	for i := range each {
		members = append(members,
			Member{ID: ident.WorkerID(fmt.Sprintf("n%d", i)), DataCentre: "nelson"},
			Member{ID: ident.WorkerID(fmt.Sprintf("p%d", i)), DataCentre: "picton"})
	}
	f.apply(f.c.SetMembers(f.now, members))
	for _, m := range members {
		f.claim(m.ID, Report{})
	}
	return f
}

// evacuate puts a set in force that was read now.
func (f *fixture) evacuate(dcs ...ident.DataCentre) {
	var requests []evacuation.Request
	for i, dc := range dcs {
		requests = append(requests, evacuation.Request{DataCentre: dc, Revision: store.Revision(i + 1), Since: f.now})
	}
	f.c.NoteEvacuations(evacuation.NewSet(1, f.now, requests))
	f.applyEvacuations()
}

func (f *fixture) applyEvacuations() {
	_, eff := f.c.ApplyEvacuations(f.now)
	f.apply(eff)
}

// evacuated lists the workers that the planner knows as evacuated.
func (f *fixture) evacuated() map[ident.WorkerID]bool {
	out := make(map[ident.WorkerID]bool)
	for _, put := range commandsOf[PutWorker](f) {
		delete(out, put.Worker.ID)
		if put.Worker.Evacuated {
			out[put.Worker.ID] = true
		}
	}
	return out
}

// Guards against an owner that starts tasks before it has read which data centres are under evacuation: after a restart
// of all hosts none of them knows.
func TestNothingStartsBeforeEvacuationsAreKnown(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	id := f.submit(1)
	f.planStart(ident.TaskID{Job: id}, "p0")
	require.Empty(t, commandsOf[StartTask](f))
	require.True(t, f.c.StartsHeld())
	f.evacuate()
	f.tickUntil(f.now.Add(time.Second))
	f.startTask(ident.TaskID{Job: id}, "p0")
	require.Len(t, commandsOf[StartTask](f), 1)
}

// Guards against starts by a list that is too old, while the running tasks go on.
func TestStaleEvacuationsHoldStarts(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate("nelson")
	attempt := f.planStart(ident.TaskID{Job: f.submit(1)}, "p0")
	require.True(t, f.c.ShouldSendStart("p0", attempt))
	f.c.NoteEvacuations(f.c.evacuations.Stale())
	require.False(t, f.c.ShouldSendStart("p0", attempt))
	f.applyEvacuations()
	require.Equal(t, map[ident.WorkerID]bool{"n0": true}, f.evacuated())
}

// Guards against a start that was decided before the request and sent after it. The event of the request may be queued
// behind others at that time.
func TestDecidedStartIsNotSentToEvacuatedWorker(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	attempt := f.planStart(ident.TaskID{Job: f.submit(1)}, "n0")
	require.True(t, f.c.ShouldSendStart("n0", attempt))
	f.c.NoteEvacuations(evacuation.NewSet(2, f.now, []evacuation.Request{{DataCentre: "nelson"}}))
	require.False(t, f.c.ShouldSendStart("n0", attempt))
	f.apply(f.c.StartAnswered(f.now, "n0", attempt, Answer{Outcome: Refused, Reason: ReasonUnsent}))
	f.tickUntil(f.now.Add(time.Second))
	f.startTask(attempt.Task, "p0")
	sent := commandsOf[StartTask](f)
	require.Equal(t, ident.WorkerID("p0"), sent[len(sent)-1].Worker)
}

// Guards against a start that waited for its record when the request came, and is sent once the record is durable.
func TestStartThatWaitsForTheLogIsAbandoned(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	id := f.submit(1)
	task := ident.TaskID{Job: id}
	f.c.task(task).checkpoint = Checkpoint{ID: "saved"}
	f.holdLog = true
	first := f.planStart(task, "n0")
	require.Equal(t, phaseLogging, f.c.task(task).run.phase)
	f.evacuate("nelson")
	require.Nil(t, f.c.task(task).run, "the place is given up")
	f.apply(f.c.RecordsCommitted(f.now, []Record{CheckpointConsumed{AttemptID: first, Checkpoint: "saved"}}))
	require.Empty(t, commandsOf[StartTask](f))
	second := f.planStart(task, "p0")
	require.Greater(t, second.Attempt, first.Attempt)
	f.apply(f.c.RecordsCommitted(f.now, []Record{CheckpointConsumed{AttemptID: second, Checkpoint: "saved"}}))
	require.Equal(t, ident.WorkerID("p0"), commandsOf[StartTask](f)[0].Worker)
}

// Guards against a record that becomes durable between the arrival of the request and its event.
func TestRecordDurableAfterRequestSendsNoStart(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	task := ident.TaskID{Job: f.submit(1)}
	f.c.task(task).checkpoint = Checkpoint{ID: "saved"}
	f.holdLog = true
	first := f.planStart(task, "n0")
	f.c.NoteEvacuations(evacuation.NewSet(2, f.now, []evacuation.Request{{DataCentre: "nelson"}}))
	f.apply(f.c.RecordsCommitted(f.now, []Record{CheckpointConsumed{AttemptID: first, Checkpoint: "saved"}}))
	require.Empty(t, commandsOf[StartTask](f))
}

// Guards against running tasks that are stopped by an evacuation although it does not say when the workers go.
func TestRunningTasksStayDuringEvacuation(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	f.startTask(ident.TaskID{Job: f.submit(1)}, "n0")
	f.evacuate("nelson")
	f.tickUntil(f.now.Add(500 * time.Millisecond))
	require.Empty(t, commandsOf[CheckpointTask](f))
	require.Empty(t, commandsOf[StopTasks](f))
}

// Guards against all workers that return at once, and against workers that do not return.
func TestWorkersReturnOneAfterAnother(t *testing.T) {
	const each = 80
	f := newTwoCentreFixture(t, each)
	f.evacuate("nelson")
	require.Len(t, f.evacuated(), each)
	f.evacuate()
	ended := f.now
	first := len(f.evacuated())
	require.Less(t, first, each)
	require.Greater(t, first, each/2)
	f.tickUntil(ended.Add(evacuation.RampTime / 2))
	require.Less(t, len(f.evacuated()), first)
	require.NotEmpty(t, f.evacuated())
	f.tickUntil(ended.Add(evacuation.RampTime))
	require.Empty(t, f.evacuated())
	require.Empty(t, f.c.returns)
}

// Guards against a return that goes on after a new request.
func TestRequestDuringReturn(t *testing.T) {
	const each = 20
	f := newTwoCentreFixture(t, each)
	f.evacuate("nelson")
	f.evacuate()
	f.tickUntil(f.now.Add(evacuation.RampTime / 2))
	f.evacuate("nelson")
	f.tickUntil(f.now.Add(2 * evacuation.RampTime))
	require.Len(t, f.evacuated(), each)
	f.evacuate("picton")
	require.Greater(t, len(f.evacuated()), each, "the workers of picton, and those of nelson that have not returned")
}

// Guards against a worker that joins or restarts in a data centre under evacuation and takes tasks.
func TestNewWorkerInEvacuatedDataCentre(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate("nelson")
	f.apply(f.c.UpdateMembers(f.now, []Member{{ID: "n9", DataCentre: "nelson"}, {ID: "p0", DataCentre: "nelson"}}))
	f.claim("n9", Report{})
	require.Equal(t, map[ident.WorkerID]bool{"n0": true, "n9": true, "p0": true}, f.evacuated())
}

// Guards against failures of one job that put most of the workers in quarantine that still take tasks, because evacuated
// workers count as sound ones.
func TestEvacuatedWorkersAreNoSoundOnesForQuarantines(t *testing.T) {
	f := newTwoCentreFixture(t, 4)
	f.evacuate()
	for _, id := range []ident.WorkerID{"p0", "p1"} {
		f.c.workers[id].health.quarantined = true
	}
	require.False(t, f.c.mostInQuarantineWith(f.c.workers["p2"]))
	f.evacuate("nelson")
	require.True(t, f.c.mostInQuarantineWith(f.c.workers["p2"]))
}
