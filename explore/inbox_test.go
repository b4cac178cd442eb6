package explore

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

const (
	inboxHosts = 3
	// callTime is how long a client of the platform waits for an answer.
	callTime = 3 * time.Second
	// triesWithin is the time after its first call within which a client calls again.
	triesWithin = 2700 * time.Millisecond
)

// calls holds the outcomes of submissions.
type calls struct {
	mu       sync.Mutex
	accepted []ident.JobID
	// firstTry counts the jobs that the first call has placed, and refused the jobs that no call has placed, by the verdict
	// of all calls: NotRun if each of them was refused with proof.
	firstTry int
	refused  map[verdict.Verdict]int
	// tries counts the calls that were not answered with 2xx, by verdict.
	tries   map[verdict.Verdict]int
	longest time.Duration
}

// submit hands in a job as a client of the platform does: at most four calls within triesWithin, each through the next host, and
// each after the Retry-After of the last one.
func (c *calls) submit(hosts []*jobProcess, number uint64) {
	first, verdictOfAll := time.Now(), verdict.NotRun
	for try := range 4 {
		begun := time.Now()
		id, err := submitOnce(hosts[(int(number)+try)%len(hosts)], number)
		c.mu.Lock()
		c.longest = max(c.longest, time.Since(begun))
		if err == nil {
			c.accepted = append(c.accepted, id)
			if try == 0 {
				c.firstTry++
			}
			c.mu.Unlock()
			return
		}
		e := verdict.FromError(err)
		c.tries[e.Verdict]++
		c.mu.Unlock()
		if e.Verdict != verdict.NotRun {
			verdictOfAll = verdict.MayHaveRun
		}
		if time.Since(first)+e.RetryAfter > triesWithin {
			break
		}
		time.Sleep(e.RetryAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[verdictOfAll]++
}

func (c *calls) log(t *testing.T) {
	t.Logf("%d accepted, %d by the first call, others %v, other answers %v, the longest call took %s",
		len(c.accepted), c.firstTry, c.refused, c.tries, c.longest)
}

func submitOnce(p *jobProcess, number uint64) (ident.JobID, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	return p.router.Submit(ctx, lifecycle.JobSpec{Class: "batch", ClientNumber: number, Groups: []lifecycle.TaskGroup{{
		Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 100}, RunTime: 500 * time.Millisecond, Command: "work=500ms",
	}}})
}

// hasClaimed reports whether the host has claimed a worker.
func (l *ownerLog) hasClaimed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claims > 0
}

// playFailure submits 20 jobs a second through hosts that do not own the cell, while fail makes something fail, and checks that
// the accepted ones run once. It returns the outcomes of the calls.
func playFailure(t *testing.T, inboxWriteShare float64, fail func(c *jobCell, owner *jobProcess)) *calls {
	const jobsInAll = 300
	c := newJobCell(t)
	c.inboxWriteShare = inboxWriteShare
	c.readable.Store(outageTable(1, 10))
	var (
		logs  []*ownerLog
		hosts []*jobProcess
	)
	for n := range inboxHosts {
		logs = append(logs, &ownerLog{})
		hosts = append(hosts, c.startHost(n+1, logs[n]))
	}
	time.Sleep(15 * time.Second)
	owner := slices.IndexFunc(logs, (*ownerLog).hasClaimed)
	require.NotEqual(t, -1, owner)
	others := slices.Delete(slices.Clone(hosts), owner, owner+1)
	result := &calls{refused: make(map[verdict.Verdict]int), tries: make(map[verdict.Verdict]int)}
	var clients, failed sync.WaitGroup
	for i := range jobsInAll {
		if i == jobsInAll/4 {
			failed.Go(func() { fail(c, hosts[owner]) })
		}
		clients.Go(func() { result.submit(others, uint64(i+1)) })
		require.NoError(t, sleep.For(t.Context(), 50*time.Millisecond))
	}
	clients.Wait()
	failed.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, id := range result.accepted {
		require.Empty(t, check.UnfinishedTasks(others[0].awaitFinal(ctx, id)))
	}
	require.Empty(t, check.Executions(c.recorder))
	executions := len(c.recorder.Executions())
	require.GreaterOrEqual(t, executions, len(result.accepted))
	require.LessOrEqual(t, executions, len(result.accepted)+result.refused[verdict.MayHaveRun], "a job ran that was refused with proof")
	others[1].kill()
	if !hosts[owner].killed {
		hosts[owner].kill()
	}
	c.close(others[0])
	return result
}

// Guards against jobs that are not accepted because the owner of their cell is lost, in a deployment of whole hosts.
func TestJobsAreAcceptedWhileTheOwnerIsLost(t *testing.T) {
	for name, share := range map[string]float64{"without inboxes": 0, "with inboxes": daemon.DefaultInboxWriteShare} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := playFailure(t, share, func(_ *jobCell, owner *jobProcess) { owner.kill() })
				r.log(t)
				if share > 0 {
					require.Empty(t, r.refused)
				}
			})
		})
	}
}

// Guards against answers that leave the outcome open in an outage of the store for all hosts: nothing durable was tried, and the
// owner knows every job.
func TestJobsAreRefusedWithProofInAStoreOutage(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"refuses calls": {Down: true}, "does not answer": {Hang: true}} {
		for inboxes, share := range map[string]float64{"without inboxes": 0, "with inboxes": daemon.DefaultInboxWriteShare} {
			t.Run(name+" "+inboxes, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playFailure(t, share, func(c *jobCell, _ *jobProcess) {
						c.store.SetFault(fault)
						time.Sleep(4200 * time.Millisecond)
						c.store.SetFault(kv.Fault{})
					})
					r.log(t)
					if share > 0 {
						// The write in progress when the store stops answering may take effect.
						require.LessOrEqual(t, r.tries[verdict.MayHaveRun], 2)
						require.Positive(t, r.tries[verdict.NotRun])
					}
				})
			})
		}
	}
}
