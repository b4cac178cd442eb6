// Package scenario runs scripts that start a deployment, send work, cause failures and check the guarantees afterwards.
// The scripts are written in the language of testscript, with the commands described in docs/notes/scenarios.md.
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

// commandTimeout bounds a command that waits for the deployment.
const commandTimeout = 90 * time.Second

// run is the state of one script.
type run struct {
	deployment *deployment.Deployment
	actions    *action.Actions

	wg sync.WaitGroup
	// mu guards results, which loads in the background write.
	mu      sync.Mutex
	results map[string][]load.Result
}

type runKey struct{}

// Params returns the parameters of a testscript run over the scripts of a directory.
func Params(dir string) testscript.Params {
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			r := &run{results: make(map[string][]load.Result)}
			env.Values[runKey{}] = r
			env.Defer(r.close)
			return nil
		},
		Cmds: commands(),
	}
}

type command func(r *run, ctx context.Context, ts *testscript.TestScript, args []string) error

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	out := make(map[string]func(ts *testscript.TestScript, neg bool, args []string))
	scripted := make(map[string]command)
	for name, c := range map[string]command{
		"deploy": (*run).deploy, "table": (*run).table, "load": (*run).load, "finish": (*run).finish, "expect": (*run).expect,
		"commit": (*run).commit, "sleep": (*run).sleep, "check": (*run).check,
	} {
		scripted[name] = c
	}
	for _, verb := range action.Verbs() {
		scripted[verb] = func(r *run, ctx context.Context, _ *testscript.TestScript, args []string) error {
			if r.actions == nil {
				return errors.New("deploy first")
			}
			return r.actions.Do(ctx, verb, args...)
		}
	}
	for name, c := range scripted {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
			defer cancel()
			err := c(ts.Value(runKey{}).(*run), ctx, ts, args)
			switch {
			case err != nil && !neg:
				// The record of a run that does not reach its check is needed most.
				if kept := ts.Value(runKey{}).(*run).keep(ts); kept != nil {
					ts.Logf("record not kept: %v", kept)
				}
				ts.Fatalf("%s: %v", name, err)
			case err == nil && neg:
				ts.Fatalf("%s: unexpected success", name)
			}
		}
	}
	return out
}

func (r *run) close() {
	if r.deployment != nil {
		r.deployment.Stop()
	}
	r.wg.Wait()
}

// keep writes the record of the run where SCENARIO_HISTORY says, if it is set.
func (r *run) keep(ts *testscript.TestScript) error {
	name := os.Getenv("SCENARIO_HISTORY")
	if name == "" || r.deployment == nil {
		return nil
	}
	return action.WriteHistory(name+"-"+ts.Name()+".jsonl", r.deployment.Events())
}

// deploy starts a deployment of three data centres: deploy [hosts=3] [cells=3] [targets=6] [workers=6] [service=10ms].
func (r *run) deploy(ctx context.Context, ts *testscript.TestScript, args []string) error {
	values, err := action.ParseSettings(args, "hosts", "cells", "targets", "workers", "service", "lag")
	if err != nil {
		return err
	}
	o := deployment.Small()
	o.LogDir = ts.Getenv("WORK")
	for name, field := range map[string]*int{"hosts": &o.Hosts, "cells": &o.Cells, "targets": &o.Targets, "workers": &o.Workers} {
		n, err := action.NumberOr(values, name, float64(*field))
		if err != nil {
			return err
		}
		*field = int(n)
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

// table commits a table and waits until every running host takes requests: table FILE.
func (r *run) table(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("want one file")
	}
	if _, err := r.deployment.SetTable(ctx, []byte(ts.ReadFile(args[0]))); err != nil {
		return err
	}
	return r.deployment.AwaitReady(ctx)
}

// commit commits a table without waiting for the hosts: commit FILE.
func (r *run) commit(ctx context.Context, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("want one file")
	}
	_, err := r.deployment.SetTable(ctx, []byte(ts.ReadFile(args[0])))
	return err
}

// load sends requests in the background: load NAME class=C rate=N duration=D [idempotent=true] [timeout=1s]
// [attempts=1] [host=H].
func (r *run) load(_ context.Context, _ *testscript.TestScript, args []string) error {
	if len(args) < 1 {
		return errors.New("want a name")
	}
	name := args[0]
	values, err := action.ParseSettings(args[1:], "class", "rate", "duration", "idempotent", "timeout", "attempts", "host")
	if err != nil {
		return err
	}
	generator, err := r.generator(name, values)
	if err != nil {
		return err
	}
	r.wg.Go(func() {
		results := generator.Run(context.Background())
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results[name] = results
	})
	return nil
}

func (r *run) generator(name string, values map[string]string) (*load.Generator, error) {
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
	if only, ok := values["host"]; ok {
		hosts = map[string]string{only: hosts[only]}
	}
	return load.New(load.Options{
		Hosts: hosts, Duration: duration, Seed: 1, Recorder: r.deployment.Recorder, RunID: name + "-",
		Classes: []load.Class{{
			Name: values["class"], Rate: rate, Idempotent: values["idempotent"] == "true", Timeout: timeout,
			MaxAttempts: int(attempts), MeanServiceTime: r.deployment.ServiceTime(), BodyBytes: 100,
		}},
	})
}

// finish waits for the loads in the background.
func (r *run) finish(ctx context.Context, _ *testscript.TestScript, _ []string) error {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// check compares the record of the run with the guarantees: check [complete=true].
func (r *run) check(_ context.Context, ts *testscript.TestScript, args []string) error {
	values, err := action.ParseSettings(args, "complete")
	if err != nil {
		return err
	}
	bounds := history.DefaultBounds()
	// The bound for today's size is checked by the demo on a quiet machine; under race detection and beside other
	// scripts, the bound of the target size is the one that must hold.
	bounds.InForceDelay = 11 * time.Second
	bounds.RunComplete = values["complete"] == "true"
	_, violations := action.Check(r.deployment, bounds)
	if err := r.keep(ts); err != nil {
		return err
	}
	for _, v := range violations {
		ts.Logf("%s", v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d guarantees broken", len(violations))
	}
	return nil
}
