package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against work that is stopped on healthy workers because their new owner has not read the host list yet.
func TestOwnerWithoutHostListMovesNothing(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	job := old.submit(2)
	first := old.startTask(taskID(job, 0, 0), "w1")
	second := old.startTask(taskID(job, 0, 1), "w2")

	f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
	for _, r := range old.log {
		f.c.Replay(r)
	}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, nil))
	f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
	f.sync("w1", []AttemptID{first})
	require.False(t, f.c.Recovering())
	require.Empty(t, commandsOf[CheckpointTask](f))
	require.Empty(t, commandsOf[StopTasks](f))
	for _, put := range commandsOf[PutWorker](f) {
		require.True(t, put.Worker.Leaving, "nothing starts on %s before its state is known", put.Worker.ID)
	}

	f.apply(f.c.UpdateMembers(f.now, []Member{{ID: "w1"}}))
	require.Empty(t, commandsOf[CheckpointTask](f), "the list may lack w2")
	require.False(t, commandsOf[PutWorker](f)[len(commandsOf[PutWorker](f))-1].Worker.Leaving)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "w2", Leaving: true}}))
	require.Equal(t, []CheckpointTask{{AttemptID: second, Worker: "w2", Stop: true}}, commandsOf[CheckpointTask](f))
	require.Equal(t, Running, f.taskView(job, 0).State)
}

// Guards against work that is stopped, and started again elsewhere, because its worker was silent towards the platform
// for a while: the host list has dropped the worker, but it answers its owner.
func TestUnlistedWorkerThatAnswersKeepsItsTasks(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	job := f.submit(2)
	first := f.startTask(taskID(job, 0, 0), "w1")
	second := f.startTask(taskID(job, 0, 1), "w2")
	f.sync("w1", []AttemptID{first})
	f.sync("w2", []AttemptID{second})
	f.commands = nil

	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}}))
	for range 30 {
		f.tickUntil(f.now.Add(time.Second))
		f.sync("w1", []AttemptID{first})
		f.sync("w2", []AttemptID{second})
	}
	require.Empty(t, commandsOf[CheckpointTask](f))
	require.Empty(t, commandsOf[StopTasks](f))
	require.Equal(t, Running, f.taskView(job, 1).State)
	puts := commandsOf[PutWorker](f)
	require.NotEmpty(t, puts)
	require.True(t, puts[len(puts)-1].Worker.Leaving, "it gets no new tasks")

	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "w2"}}))
	puts = commandsOf[PutWorker](f)
	require.False(t, puts[len(puts)-1].Worker.Leaving, "it is back")
	require.Equal(t, Running, f.taskView(job, 1).State)
}

// Guards against tasks that stay on a worker that is gone: it is not listed any more, and does not answer.
func TestUnlistedWorkerThatDoesNotAnswerLosesItsTasks(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	job := f.submit(2)
	first := f.startTask(taskID(job, 0, 0), "w1")
	second := f.startTask(taskID(job, 0, 1), "w2")
	f.sync("w2", []AttemptID{second})
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}}))
	f.c.CallFailed("w2")
	for end := f.now.Add(LeaseDuration + LeaseMargin); f.now.Before(end); {
		f.tickUntil(f.now.Add(time.Second))
		f.sync("w1", []AttemptID{first})
	}
	require.Equal(t, Queued, f.taskView(job, 1).State)
	require.Equal(t, Running, f.taskView(job, 0).State)
	require.Equal(t, []ForgetWorker{{Worker: "w2"}}, commandsOf[ForgetWorker](f))
}

// Guards against a worker that is forgotten, and its record removed, because the host list has not been read yet.
func TestOwnerWithoutHostListForgetsNoWorker(t *testing.T) {
	old := newFixture(t, 7, "w1")
	f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
	for _, r := range old.log {
		f.c.Replay(r)
	}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, nil))
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
	require.False(t, f.c.Recovering())
	require.Empty(t, commandsOf[ForgetWorker](f))

	f.apply(f.c.SetMembers(f.now, nil))
	require.Equal(t, []ForgetWorker{{Worker: "w1"}}, commandsOf[ForgetWorker](f))
}

// Guards against a job that is refused for good because the owner knows only some of the workers.
func TestJobIsNotTooLargeForUnknownWorkers(t *testing.T) {
	f := &fixture{t: t, c: NewCell(1, 9, newFixture(t, 1).c.table), now: testStart}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, nil))
	f.apply(f.c.UpdateMembers(f.now, []Member{{ID: "w1", Capacity: capacity}}))
	f.claim("w1", Report{})
	require.False(t, f.c.Recovering())
	spec := JobSpec{Class: "batch", Groups: []TaskGroup{{Count: 1, Need: capacity.Add(oneCore)}}}
	_, _, err := f.c.Accept(f.now, spec)
	require.NoError(t, err)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1", Capacity: capacity}}))
	_, _, err = f.c.Accept(f.now, spec)
	require.Error(t, err)
}
