package soak

import (
	"fmt"
	"time"
)

const (
	// churnInterval is the time between two changes of the table in a series of them, and churnTime its length.
	churnInterval = 100 * time.Millisecond
	churnTime     = 8 * time.Second
	// strongLost is how long all strong hosts are lost: longer than a lease, so that weak hosts become owners.
	strongLost = 13 * time.Second
	// stopLag is the longest time between the begin of a planned stop and what disturbs it. A stop takes at least 1 s.
	stopLag = 1500 * time.Millisecond
)

func (g *generator) anyHost() string {
	return g.size.Hosts[g.random.IntN(len(g.size.Hosts))]
}

// proxy lets the proxy in front of a host, the store, a target or a worker misbehave.
func (g *generator) proxy(end time.Duration) {
	places := []string{
		"peer/" + g.anyHost(), "store/" + g.anyHost(), "caller/" + g.anyHost(),
		fmt.Sprintf("target/%d", g.random.IntN(g.size.Targets)), fmt.Sprintf("worker/%d", g.random.IntN(g.size.Workers)),
	}
	place := places[g.random.IntN(len(places))]
	state := []string{"slow", "cut-in", "cut-out", "silent", "reset"}[g.random.IntN(5)]
	if !g.take("proxy "+place, end) {
		return
	}
	g.add(g.now, "proxy", place, state)
	if state != "reset" {
		g.add(end, "proxy", place, "up")
	}
}

func (g *generator) hangUp(time.Duration) {
	g.add(g.now, "host", "hang-up", g.anyHost())
}

// disturbStop pauses or kills a host in the middle of its planned stop.
func (g *generator) disturbStop(end time.Duration) {
	lag := time.Duration(g.random.Int64N(int64(stopLag))).Round(resolution)
	name, ok := g.host(max(end, g.now+lag) + g.replaceTime())
	if !ok {
		return
	}
	g.add(g.now, "replace", name)
	if g.random.IntN(2) == 0 {
		g.add(min(g.now+lag, end), "host", "pause", name)
		g.add(end, "host", "resume", name)
		return
	}
	g.add(min(g.now+lag, end), "host", "kill", name)
	g.add(end, "host", "start", name)
}

// series replaces all hosts one after another while the table changes all the time, one host gets hang-ups, and another
// one is paused. The replacement does not look at what else is done to its hosts.
func (g *generator) series(end time.Duration) {
	if !g.take("series", end+g.replaceTime()) {
		return
	}
	g.add(g.now, append([]string{"rolling"}, g.size.Hosts...)...)
	g.add(g.now, "churn", min(end-g.now, churnTime).String(), churnInterval.String())
	for range 3 {
		g.add(g.now+time.Duration(g.random.Int64N(int64(end-g.now))).Round(resolution), "host", "hang-up", g.anyHost())
	}
	g.pauseHost(end)
}

// loseStrong kills all strong hosts at once, beside the load and whatever else is in force.
func (g *generator) loseStrong(time.Duration) {
	end := g.now + strongLost
	for _, name := range g.size.Strong {
		if g.busy[name] > g.now {
			return
		}
	}
	if len(g.size.Strong) == 0 || len(g.size.Strong) == len(g.size.Hosts) || end > g.duration || g.otherDown() {
		return
	}
	for _, name := range g.size.Strong {
		g.take(name, end)
		g.add(g.now, "host", "kill", name)
		g.add(end, "host", "start", name)
	}
}

// strengthen changes a setting of a host, which takes effect by a planned stop and a start.
func (g *generator) strengthen(time.Duration) {
	if name, ok := g.host(g.now + g.replaceTime()); ok {
		g.add(g.now, "host", "strong", name)
		g.add(g.now, "replace", name)
	}
}

// otherDown reports whether every weak host is held by another failure.
func (g *generator) otherDown() bool {
	up := 0
	for _, name := range g.size.Hosts {
		if g.busy[name] <= g.now {
			up++
		}
	}
	return up <= len(g.size.Strong)
}
