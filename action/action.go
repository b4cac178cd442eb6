// Package action changes a running deployment. It implements the verbs of scenario scripts that act on relay hosts,
// links, the store, targets, workers, proxies and jobs, and checks the history of a run against the guarantees.
// Scenarios, soak runs and other programs that cause failures share it.
package action

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

const (
	// pollInterval is the time between two polls of an action that waits for a state.
	pollInterval = 50 * time.Millisecond
	// drainTimeout is longer than a relay host's own limit for a drain.
	drainTimeout = 90 * time.Second
)

// Actions performs the actions on one deployment. It is not safe for concurrent use.
type Actions struct {
	Deployment *deployment.Deployment
	Jobs       *load.JobClient

	// drainResults holds, by host, a channel that receives the error of the drain in progress.
	drainResults map[string]chan error
}

// New returns the actions for a deployment.
func New(d *deployment.Deployment) *Actions {
	return &Actions{Deployment: d, Jobs: load.NewJobClient(d.CallerURLs()), drainResults: make(map[string]chan error)}
}

var verbs = map[string]func(a *Actions, ctx context.Context, args []string) error{
	"host": (*Actions).host, "wait_drain": (*Actions).waitDrain, "links": (*Actions).links, "store": (*Actions).store,
	"target": (*Actions).target, "worker": (*Actions).worker, "job": (*Actions).job,
	"proxy": (*Actions).proxy, "evacuation": (*Actions).evacuation,
}

// Verbs returns the verbs that Do accepts, in alphabetical order.
func Verbs() []string {
	var out []string
	for name := range verbs {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Do performs one action, such as verb "host" with the arguments "kill" and "nelson-1".
func (a *Actions) Do(ctx context.Context, verb string, args ...string) error {
	action, ok := verbs[verb]
	if !ok {
		return fmt.Errorf("action %q: want one of %s", verb, strings.Join(Verbs(), ", "))
	}
	return action(a, ctx, args)
}

// ParseSettings parses arguments of the form name=value. allowed lists the permitted names.
func ParseSettings(args []string, allowed ...string) (map[string]string, error) {
	out := make(map[string]string)
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("argument %q: want name=value", arg)
		}
		known := false
		for _, n := range allowed {
			known = known || n == name
		}
		if !known {
			return nil, fmt.Errorf("argument %q: want one of %s", arg, strings.Join(allowed, ", "))
		}
		out[name] = value
	}
	return out, nil
}

// NumberOr returns the value of a setting as a number, or fallback if the setting is absent.
func NumberOr(values map[string]string, name string, fallback float64) (float64, error) {
	text, ok := values[name]
	if !ok {
		return fallback, nil
	}
	return strconv.ParseFloat(text, 64)
}

// ValueOr returns the text of a setting, or fallback if the setting is absent.
func ValueOr(values map[string]string, name, fallback string) string {
	if v, ok := values[name]; ok {
		return v
	}
	return fallback
}
