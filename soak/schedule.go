// Package soak runs a whole deployment under a schedule of failures, which is random and determined by a seed, and
// checks the history of the run against the guarantees.
package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is one action of a schedule, with its time since the start of the load.
type Step struct {
	At time.Duration
	// Action is a verb and its arguments: an action of package action, or one of this package: replace HOST,
	// rolling HOST..., churn TIME INTERVAL, flood CLASS RATE TIME, race N, lose WORKER [crash], find WORKER,
	// kill-owner WORKER.
	Action []string
}

// String returns the step as one line that Parse reads.
func (s Step) String() string {
	return fmt.Sprintf("%s %s", s.At, strings.Join(s.Action, " "))
}

// Parse reads a schedule with one step a line, such as "2.5s host kill nelson-1". It skips empty lines and lines that
// start with #, and returns the steps in the order of their times.
func Parse(r io.Reader) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		words := strings.Fields(scanner.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || len(words) < 2 || at < 0 {
			return nil, fmt.Errorf("line %d of the schedule: %q: want a time and an action", n, scanner.Text())
		}
		steps = append(steps, Step{At: at, Action: words[1:]})
	}
	sortByTime(steps)
	return steps, scanner.Err()
}

func sortByTime(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
}

// Topology lists what a schedule can act on.
type Topology struct {
	Hosts []string
	// StrongHosts are the hosts that are preferred as owners of cells.
	StrongHosts []string
	DataCentres []string
	Targets     int
	Workers     int
	// SeparateProcesses is set if each host is a process behind proxies. It adds the failures that only such hosts can
	// have, and steps that overlap on one host.
	SeparateProcesses bool
}

const (
	// meanFailureInterval is the mean time between the starts of two failures. Failures overlap.
	meanFailureInterval = 1500 * time.Millisecond
	// warmUpDuration is the time at the start of the load without failures.
	warmUpDuration = 2 * time.Second
	// minFailureDuration and maxFailureDuration bound how long a failure lasts. The maximum is longer than a lease of
	// 9 s, so that cells change their owners.
	minFailureDuration = 300 * time.Millisecond
	maxFailureDuration = 14 * time.Second
	// maxReplaceTime is longer than a planned stop and a start of a host, and maxPausedReplaceTime is longer than those
	// of a host that is paused meanwhile.
	maxReplaceTime       = 40 * time.Second
	maxPausedReplaceTime = 60 * time.Second
	// timeResolution is the unit to which the times of a schedule are rounded.
	timeResolution = 10 * time.Millisecond
)

// scheduleGenerator generates a schedule. Each failure reserves the resources that it acts on for as long as it lasts.
type scheduleGenerator struct {
	rng           *rand.Rand
	topology      Topology
	steps         []Step
	reservedUntil map[string]time.Duration
	now           time.Duration
	runDuration   time.Duration
	// leftTargets counts the targets that have left for good.
	leftTargets int
}

// Generate returns the schedule of a seed. All failures other than crashes and leaving targets end within the duration.
func Generate(seed uint64, duration time.Duration, topology Topology) []Step {
	g := &scheduleGenerator{
		rng: rand.New(rand.NewPCG(seed, 0)), topology: topology, reservedUntil: make(map[string]time.Duration), now: warmUpDuration, runDuration: duration,
	}
	failures := []func(end time.Duration){
		g.killHost, g.killHost, g.pauseHost, g.pauseHost, g.replaceHost, g.cutLinks, g.breakStore, g.breakStore,
		g.breakTarget, g.breakTarget, g.removeTarget, g.breakWorker, g.breakWorker, g.floodClass, g.cancelJobs, g.raceTableChanges, g.raceTableChanges,
	}
	if topology.SeparateProcesses {
		failures = append(failures, g.breakProxy, g.breakProxy, g.breakProxy, g.breakProxy, g.sendHangUp, g.disturbPlannedStop, g.overlapFailures, g.evacuateDataCentre, g.killStrongHosts, g.makeHostStrong)
	}
	for {
		g.now += min(4*meanFailureInterval, time.Duration(g.rng.ExpFloat64()*float64(meanFailureInterval))).Round(timeResolution)
		if g.now+minFailureDuration >= duration {
			break
		}
		failureDuration := minFailureDuration + time.Duration(g.rng.Int64N(int64(maxFailureDuration-minFailureDuration)))
		failures[g.rng.IntN(len(failures))](min(duration, g.now+failureDuration.Round(timeResolution)))
	}
	if topology.SeparateProcesses {
		g.loseWorkers(rand.New(rand.NewPCG(seed, 1)))
	}
	sortByTime(g.steps)
	return g.steps
}

func (g *scheduleGenerator) addStep(at time.Duration, action ...string) {
	g.steps = append(g.steps, Step{At: at, Action: action})
}

// reserve reserves a resource until end. It reports false if another failure has reserved it.
func (g *scheduleGenerator) reserve(resource string, end time.Duration) bool {
	if g.reservedUntil[resource] > g.now {
		return false
	}
	g.reservedUntil[resource] = end
	return true
}

// replaceReservation returns how long a replacement reserves its host.
func (g *scheduleGenerator) replaceReservation() time.Duration {
	if g.topology.SeparateProcesses {
		return maxPausedReplaceTime
	}
	return maxReplaceTime
}

// reserveHost reserves a random host until end. It reports false if that host is already reserved, or if no host would
// be left without a reservation, so that the deployment always has a running host.
func (g *scheduleGenerator) reserveHost(end time.Duration) (string, bool) {
	reserved := 0
	for _, h := range g.topology.Hosts {
		if g.reservedUntil[h] > g.now {
			reserved++
		}
	}
	name := g.topology.Hosts[g.rng.IntN(len(g.topology.Hosts))]
	return name, reserved+1 < len(g.topology.Hosts) && g.reserve(name, end)
}

func (g *scheduleGenerator) killHost(end time.Duration) {
	if name, ok := g.reserveHost(end); ok {
		g.addStep(g.now, "host", "kill", name)
		g.addStep(end, "host", "start", name)
	}
}

func (g *scheduleGenerator) pauseHost(end time.Duration) {
	if name, ok := g.reserveHost(end); ok {
		g.addStep(g.now, "host", "pause", name)
		g.addStep(end, "host", "resume", name)
	}
}

func (g *scheduleGenerator) replaceHost(time.Duration) {
	if name, ok := g.reserveHost(g.now + g.replaceReservation()); ok {
		g.addStep(g.now, "replace", name)
	}
}

func (g *scheduleGenerator) cutLinks(end time.Duration) {
	order := g.rng.Perm(len(g.topology.DataCentres))
	a, b := g.topology.DataCentres[min(order[0], order[1])], g.topology.DataCentres[max(order[0], order[1])]
	if a != b && g.reserve("links "+a+b, end) {
		g.addStep(g.now, "links", "cut", a, b)
		g.addStep(end, "links", "restore", a, b)
	}
}

// breakStore breaks the store for all hosts or for one. Only one such failure is in force at a time, because a new
// state of the store replaces the previous one.
func (g *scheduleGenerator) breakStore(end time.Duration) {
	state := []string{"down", "hang", "slow", "lose"}[g.rng.IntN(4)]
	var hosts []string
	if g.rng.IntN(2) == 0 {
		hosts = []string{g.topology.Hosts[g.rng.IntN(len(g.topology.Hosts))]}
	}
	if g.reserve("store", end) {
		g.addStep(g.now, append([]string{"store", state}, hosts...)...)
		g.addStep(end, append([]string{"store", "up"}, hosts...)...)
	}
}

func (g *scheduleGenerator) breakTarget(end time.Duration) {
	faults := []string{"fail", "slow", "black-hole", "close-early", "close-mid-answer", "truncated", "wrong-echo", "leaving"}
	n, fault := fmt.Sprint(g.rng.IntN(g.topology.Targets)), faults[g.rng.IntN(len(faults))]
	if g.reserve("target "+n, end) {
		g.addStep(g.now, "target", "fault", n, fault)
		g.addStep(end, "target", "fault", n, "none")
	}
}

// removeTarget makes a target leave for good. At most a third of the targets leave.
func (g *scheduleGenerator) removeTarget(time.Duration) {
	if g.leftTargets < g.topology.Targets/3 {
		g.addStep(g.now, "target", "leave", fmt.Sprint(g.leftTargets))
		g.leftTargets++
	}
}

func (g *scheduleGenerator) breakWorker(end time.Duration) {
	n := fmt.Sprint(g.rng.IntN(g.topology.Workers))
	if g.rng.IntN(2) == 0 {
		g.addStep(g.now, "worker", "crash", n)
		return
	}
	if g.reserve("worker "+n, end) {
		g.addStep(g.now, "worker", "fault", n, "fail")
		g.addStep(end, "worker", "fault", n, "none")
	}
}

func (g *scheduleGenerator) floodClass(end time.Duration) {
	class := []string{classLeast, classUrgent}[g.rng.IntN(2)]
	if g.reserve("flood", end) {
		g.addStep(g.now, "flood", class, "600", min(end-g.now, 4*time.Second).String())
	}
}

func (g *scheduleGenerator) cancelJobs(time.Duration) {
	g.addStep(g.now, "job", "cancel")
}

func (g *scheduleGenerator) raceTableChanges(time.Duration) {
	g.addStep(g.now, "race", fmt.Sprint(2+g.rng.IntN(3)))
}
