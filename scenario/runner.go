// Package scenario runs scripts that start a deployment, send requests and jobs, cause failures, and then check the
// guarantees. The scripts are testscript scripts with the commands that docs/notes/scenarios.md describes.
package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// commandTimeout bounds one command of a script.
const commandTimeout = 90 * time.Second

// scriptRun is the state of one script.
type scriptRun struct {
	deployment *deployment.Deployment
	actions    *action.Actions

	background sync.WaitGroup
	// mu guards results, which background loads write.
	mu sync.Mutex
	// results holds the results of the finished loads by name.
	results map[string][]load.Result
}

// scriptRunKey is the key of the scriptRun among the values of a script.
type scriptRunKey struct{}

// Params returns the testscript parameters that run the scripts of a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			run := &scriptRun{results: make(map[string][]load.Result)}
			env.Values[scriptRunKey{}] = run
			env.Defer(run.stop)
			return nil
		},
		Cmds: commands(),
	}
}

type commandFunc func(r *scriptRun, ctx context.Context, ts *testscript.TestScript, args []string) error

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	scriptCommands := make(map[string]func(ts *testscript.TestScript, neg bool, args []string))
	byName := make(map[string]commandFunc)
	for name, run := range map[string]commandFunc{
		"deploy": (*scriptRun).deploy, "table": (*scriptRun).table, "load": (*scriptRun).load, "finish": (*scriptRun).finish, "expect": (*scriptRun).expect,
		"commit": (*scriptRun).commit, "sleep": (*scriptRun).sleep, "check": (*scriptRun).check,
	} {
		byName[name] = run
	}
	for _, verb := range action.Verbs() {
		byName[verb] = func(r *scriptRun, ctx context.Context, _ *testscript.TestScript, args []string) error {
			if r.actions == nil {
				return errors.New("deploy first")
			}
			return r.actions.Do(ctx, verb, args...)
		}
	}
	for name, run := range byName {
		scriptCommands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			err := run(ts.Value(scriptRunKey{}).(*scriptRun), ctx, ts, args)
			switch {
			case err != nil && !neg:
				// The script ends here and does not reach its check command, which otherwise writes the history.
				if writeErr := ts.Value(scriptRunKey{}).(*scriptRun).writeHistory(ts); writeErr != nil {
					ts.Logf("write the history: %v", writeErr)
				}
				ts.Fatalf("%s: %v", name, err)
			case err == nil && neg:
				ts.Fatalf("%s: unexpected success", name)
			}
		}
	}
	return scriptCommands
}

func (r *scriptRun) stop() {
	if r.deployment != nil {
		r.deployment.Stop()
	}
	r.background.Wait()
}

// writeHistory writes the history of the run to a file whose name begins with SCENARIO_HISTORY, if that variable is
// set.
func (r *scriptRun) writeHistory(ts *testscript.TestScript) error {
	name := os.Getenv("SCENARIO_HISTORY")
	if name == "" || r.deployment == nil {
		return nil
	}
	return action.WriteHistory(name+"-"+ts.Name()+".jsonl", r.deployment.Events())
}

// deploy starts a deployment with three data centres:
// deploy [hosts=3] [cells=3] [targets=6] [workers=6] [service=10ms] [lag=0s].
func (r *scriptRun) deploy(ctx context.Context, ts *testscript.TestScript, args []string) error {
	values, err := action.ParseSettings(args, "hosts", "cells", "targets", "workers", "service", "lag")
	if err != nil {
		return err
	}
	o := deployment.Small()
	o.LogDir = ts.Getenv("WORK")
	for name, field := range map[string]*int{"hosts": &o.Hosts, "cells": &o.Cells, "targets": &o.Targets, "workers": &o.Workers} {
		number, err := action.NumberOr(values, name, float64(*field))
		if err != nil {
			return err
		}
		*field = int(number)
	}
	if o.ServiceTime, err = time.ParseDuration(action.ValueOr(values, "service", o.ServiceTime.String())); err != nil {
		return err
	}
	if o.HostListLag, err = time.ParseDuration(action.ValueOr(values, "lag", "0s")); err != nil {
		return err
	}
	r.deployment, err = deployment.Start(ctx, o)
	if err != nil {
		return err
	}
	r.actions = action.New(r.deployment)
	return nil
}

// table commits a table and waits until every running host accepts requests: table FILE.
func (r *scriptRun) table(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("want one file")
	}
	if _, err := r.deployment.SetTable(ctx, []byte(ts.ReadFile(args[0]))); err != nil {
		return err
	}
	return r.deployment.AwaitReady(ctx)
}

// commit commits a table without waiting for the hosts: commit FILE.
func (r *scriptRun) commit(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("want one file")
	}
	_, err := r.deployment.SetTable(ctx, []byte(ts.ReadFile(args[0])))
	return err
}

// load sends requests in the background: load NAME class=C rate=N duration=D [idempotent=true] [timeout=1s]
// [attempts=1] [host=H].
func (r *scriptRun) load(_ context.Context, _ *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return errors.New("want a name for the load")
	}
	name := args[0]
	values, err := action.ParseSettings(args[1:], "class", "rate", "duration", "idempotent", "timeout", "attempts", "host")
	if err != nil {
		return err
	}
	generator, err := r.newGenerator(name, values)
	if err != nil {
		return err
	}
	r.background.Go(func() {
		results := generator.Run(context.Background())
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results[name] = results
	})
	return nil
}

func (r *scriptRun) newGenerator(name string, values map[string]string) (*load.Generator, error) {
	rate, err := action.NumberOr(values, "rate", 50)
	if err != nil {
		return nil, err
	}
	attempts, err := action.NumberOr(values, "attempts", 1)
	if err != nil {
		return nil, err
	}
	timeout, err := time.ParseDuration(action.ValueOr(values, "timeout", "1s"))
	if err != nil {
		return nil, err
	}
	duration, err := time.ParseDuration(action.ValueOr(values, "duration", "3s"))
	if err != nil {
		return nil, err
	}
	hosts := r.deployment.CallerURLs()
	if host, ok := values["host"]; ok {
		hosts = map[string]string{host: hosts[host]}
	}
	return load.New(load.Options{
		Hosts: hosts, Duration: duration, Seed: 1, Recorder: r.deployment.Recorder, RunID: name + "-",
		Classes: []load.Class{{
			Name: values["class"], Rate: rate, Idempotent: values["idempotent"] == "true", Timeout: timeout,
			MaxAttempts: int(attempts), MeanServiceTime: r.deployment.ServiceTime(), BodyBytes: 100,
		}},
	})
}

// finish waits until all background loads have ended.
func (r *scriptRun) finish(ctx context.Context, _ *testscript.TestScript, _ []string) error {
	done := make(chan struct{})
	go func() {
		r.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// check checks the history of the run against the guarantees: check [complete=true].
func (r *scriptRun) check(_ context.Context, ts *testscript.TestScript, args []string) error {
	values, err := action.ParseSettings(args, "complete")
	if err != nil {
		return err
	}
	bounds := history.DefaultBounds()
	// The demo checks the bound for today's size on an idle machine. With the race detector and other scripts running,
	// the bound for the target size of deployments applies.
	bounds.InForceDelay = 11 * time.Second
	bounds.RunComplete = values["complete"] == "true"
	_, violations := action.Check(r.deployment, bounds)
	if err := r.writeHistory(ts); err != nil {
		return err
	}
	for _, v := range violations {
		ts.Logf("%s", v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations of the guarantees", len(violations))
	}
	return nil
}
