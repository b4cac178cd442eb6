package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// overdueInNelson returns a cell of two data centres in which a task on n0 deserves a copy.
func overdueInNelson(t *testing.T) (f *fixture, task ident.TaskID, first AttemptID) {
	f = newTwoCentreFixture(t, 2)
	f.evacuate()
	f.learn()
	task = ident.TaskID{Job: f.submitSpeculative(1)}
	first = f.startTask(task, "n0")
	f.now = f.now.Add(3 * time.Second)
	f.sync("n0", []AttemptID{first})
	require.Len(t, f.c.CopyCandidates(f.now), 1)
	return f, task, first
}

// Guards against a copy that is started in a data centre under evacuation, or while the requests are not known.
func TestNoCopyOnEvacuatedWorker(t *testing.T) {
	f, task, _ := overdueInNelson(t)
	requests := f.c.CopyCandidates(f.now)
	start := placement.Start{Task: requests[0].Task, Attempt: requests[0].Attempt, Worker: "p0"}
	f.c.NoteEvacuations(evacuation.NewSet(2, f.now, []evacuation.Request{{DataCentre: "picton"}}))
	f.apply(f.c.StartCopies(f.now, requests, []placement.Start{start}))
	require.Len(t, commandsOf[StartTask](f), 1)
	require.Equal(t, 1, f.released(task.Copy()))

	f.c.NoteEvacuations(f.c.evacuations.Stale())
	require.Empty(t, f.c.CopyCandidates(f.now))
	f.evacuate()
	require.Len(t, f.c.CopyCandidates(f.now), 1)
}

// Guards against the start of a copy that was decided before the request and is sent after it, and against a booking that
// it leaves behind.
func TestDecidedCopyIsNotSentToEvacuatedWorker(t *testing.T) {
	f, task, first := overdueInNelson(t)
	second := f.startCopy("p0")
	require.True(t, f.c.ShouldSendStart("p0", second))
	f.c.NoteEvacuations(evacuation.NewSet(2, f.now, []evacuation.Request{{DataCentre: "picton"}}))
	require.False(t, f.c.ShouldSendStart("p0", second))
	f.apply(f.c.StartAnswered(f.now, "p0", second, Answer{Outcome: Refused, Reason: ReasonUnsent}))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	f.sync("n0", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	require.Equal(t, []AttemptID{first}, f.acks("n0"))
}

// Guards against an evacuation that stops either of two attempts, and against counts that leave a copy out.
func TestBothAttemptsGoOnDuringAnEvacuation(t *testing.T) {
	f, task, first := overdueInNelson(t)
	second := f.startCopy("p0")
	f.apply(f.c.StartAnswered(f.now, "p0", second, Answer{Outcome: Applied}))
	f.evacuate("nelson", "picton")
	f.pass()
	require.Empty(t, commandsOf[StopTasks](f))
	require.Empty(t, commandsOf[CheckpointTask](f))
	for _, centre := range f.c.Evacuated() {
		total := 0
		for _, n := range centre.Stays {
			total += n
		}
		require.Equal(t, 1, total, centre.DataCentre)
	}
	f.sync("p0", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.True(t, f.stopped(first))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a lasting task that is moved to a worker whose room a copy has booked.
func TestCopiesLeaveNoRoomForMoves(t *testing.T) {
	f, _, _ := overdueInNelson(t)
	second := f.startCopy("p0")
	f.apply(f.c.StartAnswered(f.now, "p0", second, Answer{Outcome: Applied}))
	f.c.task(second.Task).copy.booked = resource.Vector{MilliCPU: 1000}
	require.Equal(t, capacity.MilliCPU-1000, f.c.workers["p0"].unbooked().MilliCPU)
	require.Equal(t, capacity.MilliCPU, f.c.workers["p1"].unbooked().MilliCPU)
}
