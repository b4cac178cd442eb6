package load

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
)

// pickHost returns the host for the next attempt: a random healthy one if there is any, or with DirectToTargets the
// less busy of two random targets.
func (g *Generator) pickHost(random *rand.Rand) string {
	first := g.hosts[random.IntN(len(g.hosts))]
	if g.options.DirectToTargets {
		second := g.hosts[random.IntN(len(g.hosts))]
		if g.requestsByHost[second].Load() < g.requestsByHost[first].Load() {
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

// isDialError reports whether err means that no connection was made, so that the request was certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// verdictOf returns the verdict of an answer. An answer of a target has no verdict: a refusal counts as not run and
// every other answer as run.
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
