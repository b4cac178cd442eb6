package soak

import (
	"fmt"
	"time"
)

const (
	// churnInterval is the time between two changes of a table that keeps changing, and maxChurnDuration bounds how long
	// it does so.
	churnInterval    = 100 * time.Millisecond
	maxChurnDuration = 8 * time.Second
	// strongHostsDownDuration is how long all strong hosts are down. It is longer than a lease, so that weak hosts
	// become owners.
	strongHostsDownDuration = 13 * time.Second
	// maxDisturbanceDelay bounds the time from the start of a planned stop, which takes at least 1 s, to the failure
	// that disturbs it.
	maxDisturbanceDelay = 1500 * time.Millisecond
)

func (g *scheduleGenerator) randomHost() string {
	return g.topology.Hosts[g.rng.IntN(len(g.topology.Hosts))]
}

// breakProxy makes the proxy in front of a host, the store, a target or a worker misbehave.
func (g *scheduleGenerator) breakProxy(end time.Duration) {
	proxies := []string{
		"peer/" + g.randomHost(), "store/" + g.randomHost(), "caller/" + g.randomHost(),
		fmt.Sprintf("target/%d", g.rng.IntN(g.topology.Targets)), fmt.Sprintf("worker/%d", g.rng.IntN(g.topology.Workers)),
	}
	proxy := proxies[g.rng.IntN(len(proxies))]
	state := []string{"slow", "cut-in", "cut-out", "silent", "reset"}[g.rng.IntN(5)]
	if !g.reserve("proxy "+proxy, end) {
		return
	}
	g.addStep(g.now, "proxy", proxy, state)
	if state != "reset" {
		g.addStep(end, "proxy", proxy, "up")
	}
}

func (g *scheduleGenerator) sendHangUp(time.Duration) {
	g.addStep(g.now, "host", "hang-up", g.randomHost())
}

// disturbPlannedStop pauses or kills a host in the middle of its planned stop.
func (g *scheduleGenerator) disturbPlannedStop(end time.Duration) {
	delay := time.Duration(g.rng.Int64N(int64(maxDisturbanceDelay))).Round(timeResolution)
	name, ok := g.reserveHost(max(end, g.now+delay) + g.replaceReservation())
	if !ok {
		return
	}
	g.addStep(g.now, "replace", name)
	if g.rng.IntN(2) == 0 {
		g.addStep(min(g.now+delay, end), "host", "pause", name)
		g.addStep(end, "host", "resume", name)
		return
	}
	g.addStep(min(g.now+delay, end), "host", "kill", name)
	g.addStep(end, "host", "start", name)
}

// evacuateDataCentre has one data centre emptied, and withdraws the request later. The others stay in service.
func (g *scheduleGenerator) evacuateDataCentre(end time.Duration) {
	dc := g.topology.DataCentres[g.rng.IntN(len(g.topology.DataCentres))]
	if len(g.topology.DataCentres) > 1 && g.reserve("evacuation", end) {
		g.addStep(g.now, "evacuation", "start", dc)
		g.addStep(end, "evacuation", "stop", dc)
	}
}

// overlapFailures replaces all hosts one after another while the table keeps changing, hosts get hang-up signals and a
// host is paused. The replacement ignores the reservations of its hosts by other failures.
func (g *scheduleGenerator) overlapFailures(end time.Duration) {
	if !g.reserve("series", end+g.replaceReservation()) {
		return
	}
	g.addStep(g.now, append([]string{"rolling"}, g.topology.Hosts...)...)
	g.addStep(g.now, "churn", min(end-g.now, maxChurnDuration).String(), churnInterval.String())
	for range 3 {
		g.addStep(g.now+time.Duration(g.rng.Int64N(int64(end-g.now))).Round(timeResolution), "host", "hang-up", g.randomHost())
	}
	g.pauseHost(end)
}

// killStrongHosts kills all strong hosts at once, while other failures may be in force.
func (g *scheduleGenerator) killStrongHosts(time.Duration) {
	end := g.now + strongHostsDownDuration
	for _, name := range g.topology.StrongHosts {
		if g.reservedUntil[name] > g.now {
			return
		}
	}
	if len(g.topology.StrongHosts) == 0 || len(g.topology.StrongHosts) == len(g.topology.Hosts) || end > g.runDuration || g.weakHostsReserved() {
		return
	}
	for _, name := range g.topology.StrongHosts {
		g.reserve(name, end)
		g.addStep(g.now, "host", "kill", name)
		g.addStep(end, "host", "start", name)
	}
}

// makeHostStrong raises the configured CPU capacity of a host to that of the strong hosts. The change takes effect when
// the host is replaced.
func (g *scheduleGenerator) makeHostStrong(time.Duration) {
	if name, ok := g.reserveHost(g.now + g.replaceReservation()); ok {
		g.addStep(g.now, "host", "strong", name)
		g.addStep(g.now, "replace", name)
	}
}

// weakHostsReserved reports whether all weak hosts are reserved by other failures.
func (g *scheduleGenerator) weakHostsReserved() bool {
	unreserved := 0
	for _, name := range g.topology.Hosts {
		if g.reservedUntil[name] <= g.now {
			unreserved++
		}
	}
	return unreserved <= len(g.topology.StrongHosts)
}
