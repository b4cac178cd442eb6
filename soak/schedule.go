// Package soak runs a whole deployment under a random schedule of failures that a seed determines, and checks the record
// of the run against the guarantees.
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

// Step is one action of a schedule, at a time since the start of the load.
type Step struct {
	At time.Duration
	// Words are an action of package action, or one of this package: replace HOST, rolling HOST..., churn TIME INTERVAL,
	// flood CLASS RATE TIME, race N.
	Words []string
}

// String returns the step as one line that Parse reads.
func (s Step) String() string {
	return fmt.Sprintf("%s %s", s.At, strings.Join(s.Words, " "))
}

// Parse reads steps, one a line. Empty lines and lines that start with # are left out.
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
		steps = append(steps, Step{At: at, Words: words[1:]})
	}
	sortSteps(steps)
	return steps, scanner.Err()
}

func sortSteps(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
}

// Size is what a schedule can act on.
type Size struct {
	Hosts []string
	// Strong are the hosts that are preferred as owners of cells.
	Strong      []string
	DataCentres []string
	Targets     int
	Workers     int
	// Processes adds the failures that only processes with proxies between them have, and series of steps that overlap
	// on one host.
	Processes bool
}

const (
	// meanPause is the mean time between two failures; several are in force at once.
	meanPause = 1500 * time.Millisecond
	warmUp    = 2 * time.Second
	// shortest and longest bound how long a failure lasts. The longest is longer than a lease (9 s), so that cells change
	// their owners.
	shortest = 300 * time.Millisecond
	longest  = 14 * time.Second
	// replaceTime is longer than a planned stop and a start, and pausedReplaceTime than those of a host that is paused
	// meanwhile.
	replaceTime       = 40 * time.Second
	pausedReplaceTime = 60 * time.Second
	resolution        = 10 * time.Millisecond
)

// generator makes a schedule. Each failure takes its resources for the time that it lasts.
type generator struct {
	random *rand.Rand
	size   Size
	steps  []Step
	busy   map[string]time.Duration
	now    time.Duration
	// duration is that of the run.
	duration time.Duration
	// left counts the targets that leave for good.
	left int
}

// Generate returns the schedule of a seed. All failures but crashes and leaving targets end before the duration is over.
func Generate(seed uint64, duration time.Duration, size Size) []Step {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, 0)), size: size, busy: make(map[string]time.Duration), now: warmUp, duration: duration,
	}
	kinds := []func(end time.Duration){
		g.stopHost, g.stopHost, g.pauseHost, g.pauseHost, g.replaceHost, g.cutLinks, g.breakStore, g.breakStore,
		g.breakTarget, g.breakTarget, g.leave, g.breakWorker, g.breakWorker, g.flood, g.cancel, g.race, g.race,
	}
	if size.Processes {
		kinds = append(kinds, g.proxy, g.proxy, g.proxy, g.proxy, g.hangUp, g.disturbStop, g.series, g.loseStrong, g.strengthen)
	}
	for {
		g.now += min(4*meanPause, time.Duration(g.random.ExpFloat64()*float64(meanPause))).Round(resolution)
		if g.now+shortest >= duration {
			break
		}
		length := shortest + time.Duration(g.random.Int64N(int64(longest-shortest)))
		kinds[g.random.IntN(len(kinds))](min(duration, g.now+length.Round(resolution)))
	}
	sortSteps(g.steps)
	return g.steps
}

func (g *generator) add(at time.Duration, words ...string) {
	g.steps = append(g.steps, Step{At: at, Words: words})
}

// take reserves a resource until end; false if another failure has it.
func (g *generator) take(resource string, end time.Duration) bool {
	if g.busy[resource] > g.now {
		return false
	}
	g.busy[resource] = end
	return true
}

// replaceTime returns how long a replacement holds its host.
func (g *generator) replaceTime() time.Duration {
	if g.size.Processes {
		return pausedReplaceTime
	}
	return replaceTime
}

// host reserves a host. One host is left alone at any time, so that the deployment is never empty.
func (g *generator) host(end time.Duration) (string, bool) {
	down := 0
	for _, h := range g.size.Hosts {
		if g.busy[h] > g.now {
			down++
		}
	}
	name := g.size.Hosts[g.random.IntN(len(g.size.Hosts))]
	return name, down+1 < len(g.size.Hosts) && g.take(name, end)
}

func (g *generator) stopHost(end time.Duration) {
	if name, ok := g.host(end); ok {
		g.add(g.now, "host", "kill", name)
		g.add(end, "host", "start", name)
	}
}

func (g *generator) pauseHost(end time.Duration) {
	if name, ok := g.host(end); ok {
		g.add(g.now, "host", "pause", name)
		g.add(end, "host", "resume", name)
	}
}

func (g *generator) replaceHost(time.Duration) {
	if name, ok := g.host(g.now + g.replaceTime()); ok {
		g.add(g.now, "replace", name)
	}
}

func (g *generator) cutLinks(end time.Duration) {
	pick := g.random.Perm(len(g.size.DataCentres))
	a, b := g.size.DataCentres[min(pick[0], pick[1])], g.size.DataCentres[max(pick[0], pick[1])]
	if a != b && g.take("links "+a+b, end) {
		g.add(g.now, "links", "cut", a, b)
		g.add(end, "links", "restore", a, b)
	}
}

// breakStore breaks the store for all hosts or for one. One such failure is in force at a time, because a state of the
// store replaces the one before.
func (g *generator) breakStore(end time.Duration) {
	state := []string{"down", "hang", "slow", "lose"}[g.random.IntN(4)]
	var only []string
	if g.random.IntN(2) == 0 {
		only = []string{g.size.Hosts[g.random.IntN(len(g.size.Hosts))]}
	}
	if g.take("store", end) {
		g.add(g.now, append([]string{"store", state}, only...)...)
		g.add(end, append([]string{"store", "up"}, only...)...)
	}
}

func (g *generator) breakTarget(end time.Duration) {
	faults := []string{"fail", "slow", "black-hole", "close-early", "close-mid-answer", "truncated", "wrong-echo", "leaving"}
	n, fault := fmt.Sprint(g.random.IntN(g.size.Targets)), faults[g.random.IntN(len(faults))]
	if g.take("target "+n, end) {
		g.add(g.now, "target", "fault", n, fault)
		g.add(end, "target", "fault", n, "none")
	}
}

// leave lets a target leave for good, at most a third of them.
func (g *generator) leave(time.Duration) {
	if g.left < g.size.Targets/3 {
		g.add(g.now, "target", "leave", fmt.Sprint(g.left))
		g.left++
	}
}

func (g *generator) breakWorker(end time.Duration) {
	n := fmt.Sprint(g.random.IntN(g.size.Workers))
	if g.random.IntN(2) == 0 {
		g.add(g.now, "worker", "crash", n)
		return
	}
	if g.take("worker "+n, end) {
		g.add(g.now, "worker", "fault", n, "fail")
		g.add(end, "worker", "fault", n, "none")
	}
}

func (g *generator) flood(end time.Duration) {
	class := []string{classLeast, classUrgent}[g.random.IntN(2)]
	if g.take("flood", end) {
		g.add(g.now, "flood", class, "600", min(end-g.now, 4*time.Second).String())
	}
}

func (g *generator) cancel(time.Duration) {
	g.add(g.now, "job", "cancel")
}

func (g *generator) race(time.Duration) {
	g.add(g.now, "race", fmt.Sprint(2+g.random.IntN(3)))
}
