package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
)

const (
	// lossPause bounds the time without a lost worker between two losses, and lossDuration is how long a loss lasts. It is
	// longer than a worker lease, the lease of an owner and both for a second time.
	lossPause    = 12 * time.Second
	lossDuration = 50 * time.Second
	// An owner is killed between the two delays after the loss, while the leases on the worker last, and its successor, with
	// equal chances, secondKillDelay later.
	minKillDelay, maxKillDelay = 3 * time.Second, 11 * time.Second
	secondKillDelay            = 18 * time.Second
	// killedOwnerDownTime is longer than the lease of an owner.
	killedOwnerDownTime = 12 * time.Second
)

// loseWorkers adds losses of workers, each followed by kills of the hosts that own the cell of the worker. The losses are
// drawn from a generator of their own, so that the other steps of a seed are those of earlier releases.
func (g *scheduleGenerator) loseWorkers(rng *rand.Rand) {
	for at := warmUpDuration; ; at += lossDuration {
		at += time.Duration(rng.Int64N(int64(lossPause))).Round(timeResolution)
		if at+maxKillDelay > g.runDuration {
			return
		}
		n := strconv.Itoa(rng.IntN(g.topology.Workers))
		loss := []string{"lose", n}
		if rng.IntN(2) == 0 {
			loss = append(loss, "crash")
		}
		g.addStep(at, loss...)
		end := min(at+lossDuration, g.runDuration)
		kill := at + minKillDelay + time.Duration(rng.Int64N(int64(maxKillDelay-minKillDelay))).Round(timeResolution)
		g.addStep(kill, "kill-owner", n)
		if rng.IntN(2) == 0 && kill+secondKillDelay < end {
			g.addStep(kill+secondKillDelay, "kill-owner", n)
		}
		g.addStep(end, "find", n)
	}
}

// workerLoss is a worker that no relay host reaches from a time on.
type workerLoss struct {
	number int
	worker string
	cell   ident.CellID
	at     time.Time
	// others are the numbers of the other workers of the cell.
	others []int
}

func (r *runner) workerNumber(args []string) (int, error) {
	if len(args) == 0 {
		return 0, errors.New("want the number of a worker")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n < 0 || n >= len(r.actions.Deployment.Workers) {
		return 0, fmt.Errorf("worker %q: want 0 to %d", args[0], len(r.actions.Deployment.Workers)-1)
	}
	return n, nil
}

func (r *runner) setWorkerProxy(n int, state network.ProxyState) error {
	p, ok := r.actions.Deployment.Proxies[workerProxy(n)]
	if !ok {
		return errors.New("the deployment has no proxies")
	}
	return p.Set(state)
}

func workerProxy(n int) string { return fmt.Sprintf("worker/%d", n) }

// lostWorker returns the worker that stands for the number of a loss.
func (r *runner) lostWorker(args []string) (int, error) {
	n, err := r.workerNumber(args)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if chosen, ok := r.lostWorkers[n]; ok {
		return chosen, nil
	}
	return 0, fmt.Errorf("worker %d is not lost", n)
}

// workerWithLastingTasks returns the first worker from n on that runs lasting tasks, or n if none does.
func (r *runner) workerWithLastingTasks(n int) int {
	lasting := r.lastingJobs()
	runs := make(map[ident.WorkerID]bool)
	for _, x := range r.actions.Deployment.Executions.Executions() {
		if _, ok := lasting[x.Task.Job]; ok && !x.Stopped {
			runs[x.Worker] = true
		}
	}
	workers := r.actions.Deployment.Workers
	for i := range workers {
		if candidate := (n + i) % len(workers); runs[workers[candidate].Member().ID] {
			return candidate
		}
	}
	return n
}

// loseWorker performs "lose WORKER [crash]": no host reaches the worker any more, and with crash its tasks end at once. A
// worker without lasting tasks is replaced by the next one that has some.
func (r *runner) loseWorker(args []string) error {
	number, err := r.workerNumber(args)
	if err != nil {
		return err
	}
	n := r.workerWithLastingTasks(number)
	if err := r.setWorkerProxy(n, network.ProxySilent); err != nil {
		return err
	}
	workers := r.actions.Deployment.Workers
	loss := workerLoss{number: n, worker: string(workers[n].Member().ID), cell: workers[n].Cell(), at: time.Now()}
	for i, w := range workers {
		if i != n && w.Cell() == loss.cell {
			loss.others = append(loss.others, i)
		}
	}
	if len(args) > 1 {
		workers[n].Crash()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.losses = append(r.losses, loss)
	r.lostWorkers[number] = n
	return nil
}

// findWorker performs "find WORKER", which ends a loss.
func (r *runner) findWorker(args []string) error {
	n, err := r.lostWorker(args)
	if err != nil {
		return err
	}
	return r.setWorkerProxy(n, network.ProxyUp)
}

// killOwner performs "kill-owner WORKER": it kills the host that owns the cell of a worker, and starts it again later. The
// last running host is not killed.
func (r *runner) killOwner(ctx context.Context, args []string) error {
	n, err := r.lostWorker(args)
	if err != nil {
		return err
	}
	owner := r.cellOwners(ctx)[fmt.Sprint(ownerKeyPrefix, r.actions.Deployment.Workers[n].Cell())]
	if owner == nil || !owner.Running() || r.runningHosts() < 2 {
		return errors.New("the cell has no running owner, or it is the last running host")
	}
	if err := owner.Kill(ctx); err != nil {
		return err
	}
	r.background.Go(func() {
		time.Sleep(killedOwnerDownTime)
		if err := owner.Start(); err != nil {
			r.addNote("start %s: %v", owner.ID(), err)
		}
	})
	return nil
}

func (r *runner) runningHosts() (running int) {
	for _, h := range r.actions.Deployment.Hosts {
		if h.Running() {
			running++
		}
	}
	return running
}

// cancelLastingJobs cancels the jobs that would not end by themselves.
func (r *runner) cancelLastingJobs(ctx context.Context) {
	for _, j := range r.lasting.AcceptedJobs() {
		for r.lasting.Cancel(ctx, j.ID) != nil && ctx.Err() == nil {
			time.Sleep(pollInterval)
		}
	}
}

// noteHolder records a change of the owner of a cell.
func (r *runner) noteHolder(key string, holder ident.Instance) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, ownerKeyPrefix), 10, 32)
	if err != nil {
		return
	}
	cell := ident.CellID(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders[cell] != holder {
		r.holders[cell] = holder
		r.takeovers = append(r.takeovers, takeover{cell, time.Now()})
	}
}

func (r *runner) notePerformed(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.performed = append(r.performed, performedStep{time.Now(), s.Action})
}

// checkRestarts waits until the lasting tasks of lost workers run again, and checks that they did so in time.
func (r *runner) checkRestarts(ctx context.Context) {
	for {
		c := r.restartCheck()
		violations := c.run()
		timedOut := c.pending > 0 && sleep.For(ctx, pollInterval) != nil
		if c.pending > 0 && !timedOut {
			continue
		}
		r.result.Restarts, r.result.RestartsLeftOut, r.result.LongestRestart = c.checked, c.leftOut, c.longest
		for _, v := range violations {
			r.addViolation("%s", v)
		}
		if timedOut {
			r.addViolation("after the last failure: %d lasting tasks of lost workers do not run", c.pending)
		}
		return
	}
}

// restartCheck returns the check of the run up to now.
func (r *runner) restartCheck() *restartCheck {
	c := &restartCheck{
		endedAt: time.Now(), jobEnds: r.lastingJobs(), executions: r.actions.Deployment.Executions.Executions(),
		dataCentres: r.options.Deployment.DataCentres, slack: restartSlack,
	}
	if r.options.WithoutTimeBounds {
		c.slack = noBound
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.performed, c.losses, c.takeovers = slices.Clone(r.performed), slices.Clone(r.losses), slices.Clone(r.takeovers)
	return c
}

// lastingJobs returns the accepted jobs of lasting tasks, with the times at which their cancellation was requested.
func (r *runner) lastingJobs() map[ident.JobID]time.Time {
	ends := make(map[ident.JobID]time.Time)
	for _, j := range r.lasting.AcceptedJobs() {
		if id, err := ident.ParseJobID(j.ID); err == nil {
			ends[id] = j.CancelSentAt
		}
	}
	return ends
}
