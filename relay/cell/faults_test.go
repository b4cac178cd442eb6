package cell_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/hostlisthttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/targethttp"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/cell"
	standin "github.com/bulrushrelay/bulrushrelay/standin/hostlist"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
)

const (
	targetCount       = 4
	callers           = 64
	requestsPerCaller = 25
	// serviceTime is well above the delays of a busy machine, so that the slow target remains the slowest.
	serviceTime = 5 * time.Millisecond
	// longDeadline is long enough for a busy machine. shortDeadline ends the wait for a target that never answers.
	longDeadline  = 20 * time.Second
	shortDeadline = 2 * time.Second
)

type outcome struct {
	request request.Request
	answer  request.Answer
	verdict verdict.Verdict
}

func startTargets(t testing.TB, service time.Duration) ([]*target.Target, []routing.Target) {
	t.Helper()
	var started []*target.Target
	var list []routing.Target
	for i := range targetCount {
		s, err := target.Start("127.0.0.1:0", service)
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		started = append(started, s)
		list = append(list, routing.Target{ID: ident.TargetID(fmt.Sprintf("t%d", i)), Address: s.Address()})
	}
	return started, list
}

func startService(t testing.TB, list []routing.Target) *cell.Service {
	t.Helper()
	client := targethttp.New(targethttp.Options{LateAnswerTimeout: time.Second})
	t.Cleanup(client.Close)
	s := cell.New(cell.Options{Cells: 1, Sender: client, Seed: 1})
	s.SetTable(table.New(1, []table.Row{{Name: "urgent", Weight: 1, Queue: 10_000, Deadline: time.Minute, Retries: 2}}))
	s.SetTargets(0, list)
	s.SetGrant(ownership.Grant{Epoch: 1, Authority: ownership.Full})
	return s
}

// sendRequests sends requests from many callers at the same time; every second request is idempotent.
func sendRequests(s *cell.Service, prefix string, deadline time.Duration) []outcome {
	outcomes := make([]outcome, callers*requestsPerCaller)
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for i := range requestsPerCaller {
				n := c*requestsPerCaller + i
				r := request.Request{
					ID: fmt.Sprintf("%s-%d", prefix, n), Class: "urgent", Method: "POST", Path: "/", Body: []byte("work"),
					Deadline: time.Now().Add(deadline), Idempotent: n%2 == 0,
				}
				answer, err := s.Execute(context.Background(), 0, r)
				outcomes[n] = outcome{r, answer, verdict.Ran}
				if err != nil {
					outcomes[n].verdict = verdict.FromError(err).Verdict
				}
			}
		})
	}
	all.Wait()
	return outcomes
}

// countRuns returns how often each request ran, over all targets, by the id of its first attempt.
func countRuns(targets []*target.Target) map[string]int {
	runs := map[string]int{}
	for _, t := range targets {
		for id, n := range t.Stats().Runs {
			first, _, _ := strings.Cut(id, ".")
			runs[first] += n
		}
	}
	return runs
}

// verifyOutcomes compares the verdicts with the runs that the targets counted, and returns the number of requests by
// verdict.
func verifyOutcomes(t *testing.T, outcomes []outcome, targets []*target.Target) map[verdict.Verdict]int {
	t.Helper()
	runs := countRuns(targets)
	count := map[verdict.Verdict]int{}
	for _, o := range outcomes {
		count[o.verdict]++
		n := runs[o.request.ID]
		if !o.request.Idempotent {
			require.LessOrEqual(t, n, 1, "%s ran twice", o.request.ID)
		}
		switch o.verdict {
		case verdict.NotRun:
			require.Zero(t, n, "%s was reported as not run", o.request.ID)
		case verdict.Ran:
			require.Positive(t, n, "%s was reported as run", o.request.ID)
			if o.answer.Status == 200 {
				echoed, body, _ := strings.Cut(string(o.answer.Body), " ")
				first, _, _ := strings.Cut(echoed, ".")
				require.Equal(t, o.request.ID, first)
				require.Equal(t, "work", body)
			}
		}
	}
	for i, s := range targets {
		stats := s.Stats()
		require.LessOrEqual(t, stats.PeakInProgress, routing.SlotsPerTarget, "t%d", i)
		require.Zero(t, stats.RefusedConnections, "t%d", i)
	}
	return count
}

// Guards against false verdicts, duplicate runs, answers to other requests and exceeded slots while one target is
// faulty, and against a faulty target that attracts most requests.
func TestOneFaultyTarget(t *testing.T) {
	for _, fault := range []target.Fault{
		target.FaultFail, target.FaultSlow, target.FaultBlackHole, target.FaultCloseEarly, target.FaultCloseMidAnswer,
		target.FaultTruncated, target.FaultWrongEcho, target.FaultLeaving,
	} {
		t.Run(string(fault), func(t *testing.T) {
			targets, list := startTargets(t, serviceTime)
			targets[0].SetFault(fault)
			deadline := longDeadline
			if fault == target.FaultBlackHole {
				deadline = shortDeadline
			}
			outcomes := sendRequests(startService(t, list), "bad", deadline)
			count := verifyOutcomes(t, outcomes, targets)
			bad := 0
			for _, n := range targets[0].Stats().Runs {
				bad += n
			}
			t.Logf("%s: %d ran, %d not run, %d may have run; %d runs and %d refusals at the bad target", fault,
				count[verdict.Ran], count[verdict.NotRun], count[verdict.MayHaveRun], bad, targets[0].Stats().Refused)
			require.Less(t, bad, len(outcomes)/targetCount, "the bad target got less than an equal part")
			if fault == target.FaultLeaving {
				require.LessOrEqual(t, targets[0].Stats().Refused, routing.SlotsPerTarget, "nothing is sent after the first refusals")
				require.Equal(t, len(outcomes), count[verdict.Ran])
			}
		})
	}
}

// Guards against requests to a target after the host list has shown it as leaving, and against a host list that does
// not reach the cell.
func TestListedAsLeaving(t *testing.T) {
	targets, list := startTargets(t, serviceTime)
	s := startService(t, nil)
	platform, err := standin.Start("127.0.0.1:0", 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = platform.Close() })
	poll := func(leaving string) {
		var hosts []standin.Host
		for _, l := range list {
			h := standin.Host{ID: string(l.ID), Address: l.Address, Kind: "target", DataCentre: "nelson", State: "live"}
			if h.ID == leaving {
				h.State = "leaving"
			}
			hosts = append(hosts, h)
		}
		platform.Set(hosts)
		read, err := hostlisthttp.New(platform.URL(), nil).Read(context.Background())
		require.NoError(t, err)
		s.SetHosts(read, cellmap.New(1, []ident.DataCentre{"nelson"}))
	}
	poll("")
	require.Equal(t, callers*requestsPerCaller, verifyOutcomes(t, sendRequests(s, "before", longDeadline), targets)[verdict.Ran])
	before := len(targets[0].Stats().Runs)
	require.Positive(t, before)
	poll("t0")
	require.Equal(t, callers*requestsPerCaller, verifyOutcomes(t, sendRequests(s, "after", longDeadline), targets)[verdict.Ran])
	require.Len(t, targets[0].Stats().Runs, before)
}

// Guards against false verdicts when a target dies or shuts down under load, and against losing all of its requests:
// those that were not sent yet must run on other targets.
func TestTargetStops(t *testing.T) {
	for name, stop := range map[string]func(*target.Target) error{
		"dies":        (*target.Target).Close,
		"shuts down":  func(t *target.Target) error { return t.Shutdown(context.Background()) },
		"then leaves": func(t *target.Target) error { t.SetFault(target.FaultLeaving); return t.Shutdown(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			targets, list := startTargets(t, serviceTime)
			s := startService(t, list)
			done := make(chan []outcome)
			go func() { done <- sendRequests(s, "stops", longDeadline) }()
			require.Eventually(t, func() bool { return len(targets[0].Stats().Runs) > 10 }, 10*time.Second, time.Millisecond)
			require.NoError(t, stop(targets[0]))
			count := verifyOutcomes(t, <-done, targets)
			t.Logf("%s: %d ran, %d not run, %d may have run", name,
				count[verdict.Ran], count[verdict.NotRun], count[verdict.MayHaveRun])
			require.LessOrEqual(t, count[verdict.MayHaveRun], routing.SlotsPerTarget)
			require.Equal(t, callers*requestsPerCaller, count[verdict.Ran]+count[verdict.MayHaveRun])
		})
	}
}
