package load

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
)

// pick returns the host of the next attempt.
func (g *Generator) pick(random *rand.Rand) string {
	first := g.hosts[random.IntN(len(g.hosts))]
	if g.options.DirectToTargets {
		second := g.hosts[random.IntN(len(g.hosts))]
		if g.running[second].Load() < g.running[first].Load() {
			return second
		}
		return first
	}
	if g.options.IsHealthy == nil || g.options.IsHealthy(first) {
		return first
	}
	for _, i := range random.Perm(len(g.hosts)) {
		if g.options.IsHealthy(g.hosts[i]) {
			return g.hosts[i]
		}
	}
	return first
}

// notConnected reports whether no connection came about, so that the caller knows that its request was never sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// verdictOf returns the verdict that an answer carries. A target has none: its refusal counts as not run and every other
// answer as run.
func (g *Generator) verdictOf(response *http.Response) string {
	if g.options.DirectToTargets {
		if response.Header.Get("Bulrush-Refused") != "" {
			return verdictNotRun
		}
		return verdictRan
	}
	v := response.Header.Get("Bulrush-Verdict")
	if v != verdictRan && v != verdictNotRun {
		return verdictMayHaveRun
	}
	return v
}
