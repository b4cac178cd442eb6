// Package action changes a running deployment: it takes the words of scenario scripts for relay hosts, links, the store,
// targets, workers and jobs, and checks the record of the run against the guarantees. Scenarios, soak runs and other
// programs that cause failures share it.
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
	// pollInterval is how often an action that waits for a state looks at it.
	pollInterval = 50 * time.Millisecond
	// drainTimeout is longer than the drain limit of a relay host.
	drainTimeout = 90 * time.Second
)

// Actions changes one deployment. It is used by one goroutine.
type Actions struct {
	Deployment *deployment.Deployment
	Jobs       *load.JobClient

	drains map[string]chan error
}

// New returns the actions on a deployment.
func New(d *deployment.Deployment) *Actions {
	return &Actions{Deployment: d, Jobs: load.NewJobClient(d.CallerURLs()), drains: make(map[string]chan error)}
}

var verbs = map[string]func(a *Actions, ctx context.Context, args []string) error{
	"host": (*Actions).host, "wait_drain": (*Actions).waitDrain, "links": (*Actions).links, "store": (*Actions).store,
	"target": (*Actions).target, "worker": (*Actions).worker, "job": (*Actions).job,
	"proxy": (*Actions).proxy,
}

// Verbs returns the first words that Do understands, in order.
func Verbs() []string {
	var out []string
	for name := range verbs {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Do performs one action, such as "host kill nelson-1".
func (a *Actions) Do(ctx context.Context, verb string, args ...string) error {
	action, ok := verbs[verb]
	if !ok {
		return fmt.Errorf("action %q: want one of %s", verb, strings.Join(Verbs(), ", "))
	}
	return action(a, ctx, args)
}

// ParseSettings parses arguments of the form name=value; names lists the allowed ones.
func ParseSettings(args []string, names ...string) (map[string]string, error) {
	out := make(map[string]string)
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("argument %q: want name=value", arg)
		}
		known := false
		for _, n := range names {
			known = known || n == name
		}
		if !known {
			return nil, fmt.Errorf("argument %q: want one of %s", arg, strings.Join(names, ", "))
		}
		out[name] = value
	}
	return out, nil
}

// NumberOr returns the value of a setting, or a default.
func NumberOr(values map[string]string, name string, or float64) (float64, error) {
	text, ok := values[name]
	if !ok {
		return or, nil
	}
	return strconv.ParseFloat(text, 64)
}

// ValueOr returns the text of a setting, or a default.
func ValueOr(values map[string]string, name, or string) string {
	if v, ok := values[name]; ok {
		return v
	}
	return or
}
