package soak

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// TestMain runs the test binary as a relay host if a deployment started it as one.
func TestMain(m *testing.M) {
	deployment.RunChild()
	os.Exit(m.Run())
}

const (
	testSeed     = 1
	testDuration = 75 * time.Second
	// waitTimeout bounds waits for processes and the kernel.
	waitTimeout      = 30 * time.Second
	waitPollInterval = 20 * time.Millisecond
)

func testOptions(t *testing.T) Options {
	o := Options{Deployment: deployment.Small(), Duration: testDuration, Seed: testSeed, WithoutTimeBounds: true}
	o.Deployment.Hosts, o.Deployment.Cells, o.Deployment.LogDir = 6, 6, t.TempDir()
	o.Deployment.UseProxies, o.Deployment.StrongMilliCPU, o.Deployment.WeakMilliCPU = true, 2000, 500
	return o
}

func testTopology(o deployment.Options) Topology {
	strong := []string{"nelson-1", "richmond-1", "motueka-1"}
	return Topology{
		SeparateProcesses: true,
		Hosts:             append(strong, "nelson-2", "richmond-2", "motueka-2"), StrongHosts: strong, DataCentres: o.DataCentres, Targets: o.Targets, Workers: o.Workers,
	}
}

// overlappingFailures is added to the schedule of the seed: a rolling restart, repeated changes of the table, a pause,
// a kill in the middle of a planned stop, hang-up signals and connection failures.
const overlappingFailures = `
1s rolling nelson-1 richmond-1 motueka-1
1s churn 4s 100ms
1.2s host pause nelson-2
1.5s proxy peer/richmond-2 cut-in
1.5s proxy caller/nelson-1 reset
1.8s host hang-up richmond-2
2s proxy store/motueka-2 silent
2.4s host hang-up motueka-1
3s replace motueka-2
3.4s host kill motueka-2
3.6s proxy peer/richmond-2 up
4s proxy store/motueka-2 up
4.5s host resume nelson-2
`

// Guards against guarantees that are violated when failures overlap. Time bounds are omitted, so that the result does
// not depend on the speed of the machine.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	o := testOptions(t)
	steps, err := Parse(strings.NewReader(overlappingFailures))
	require.NoError(t, err)
	o.Schedule = slices.Concat(steps, Generate(o.Seed, o.Duration, testTopology(o.Deployment)))
	sortByTime(o.Schedule)
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	t.Logf("%d events, %d cells passed to weak hosts and %d to strong ones; notes: %s", len(r.Events), r.MovesToWeak, r.MovesToStrong, strings.Join(r.Notes, "\n"))
	require.Empty(t, r.Violations)
}

// Guards against lasting tasks that do not run again, or run twice at a time, after the loss of their worker and of two
// owners of its cell, and against a check that finds none of them.
func TestLastingTasksOutliveWorkerAndOwners(t *testing.T) {
	t.Parallel()
	o := testOptions(t)
	o.Deployment.Cells, o.Deployment.Workers, o.Duration = 3, 12, 33*time.Second
	steps, err := Parse(strings.NewReader("8s lose 0\n13s kill-owner 0\n31s kill-owner 0"))
	require.NoError(t, err)
	o.Schedule = steps
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Positive(t, r.Restarts, strings.Join(r.Notes, "\n"))
}

// Guards against checks of a whole run that cannot fail: here a target runs each request twice.
func TestSoakFindsDuplicateRuns(t *testing.T) {
	t.Parallel()
	o := testOptions(t)
	o.Deployment.Hosts, o.Deployment.Cells, o.Deployment.StrongMilliCPU, o.Deployment.WeakMilliCPU = 3, 3, 0, 0
	o.Duration = historyCheckInterval + time.Second
	o.Schedule = []Step{{At: 0, Action: []string{"target", "fault", "0", "double"}}}
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	isP6 := func(text string) bool { return strings.Contains(text, "P6: ") }
	require.True(t, slices.ContainsFunc(r.Violations, isP6))
	require.True(t, slices.ContainsFunc(r.Notes, isP6), "the checks during the run must find it too")
}

// Guards against a crashed process that is mistaken for one that the schedule stopped, and against a hang-up signal
// that ends a host.
func TestCrashedHostIsFoundAndRestarted(t *testing.T) {
	o := testOptions(t).Deployment
	o.Hosts, o.Cells = 3, 3
	d, err := deployment.Start(t.Context(), o)
	require.NoError(t, err)
	defer d.Stop()
	require.NoError(t, d.Hosts[0].HangUp())
	require.NoError(t, d.Hosts[1].Kill(t.Context()))
	require.NoError(t, syscall.Kill(d.Hosts[2].PID(), syscall.SIGKILL))
	require.Eventually(t, d.Hosts[2].Crashed, waitTimeout, waitPollInterval)
	require.False(t, d.Hosts[1].Crashed())
	response, err := http.Get("http://" + d.Hosts[0].Settings.OperatorAddress + "/healthz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.False(t, d.Hosts[0].Crashed())
	require.Error(t, d.Hosts[0].Start(), "a running host must not be started again")
	r := &runner{actions: action.New(d), result: &Result{}}
	r.restartCrashedHosts()
	require.Len(t, r.result.Violations, 1)
	require.Contains(t, r.result.Violations[0], d.Hosts[2].ID())
	require.True(t, d.Hosts[2].Running())
}

// Guards against cells of weak hosts that are not reported, and against moves that are not counted.
func TestWeakOwnersAndMovesAreFound(t *testing.T) {
	strong, weak := &deployment.Host{}, &deployment.Host{}
	strong.Settings.HostID, weak.Settings.HostID = "s", "w"
	strong.SetMilliCPU(2000)
	weak.SetMilliCPU(500)
	r := &runner{result: &Result{}}
	r.options.Deployment.StrongMilliCPU = 2000
	require.Equal(t, []string{"/own/1 of w"}, cellsOfWeakHosts(map[string]*deployment.Host{"/own/0": strong, "/own/1": weak}, r.isStrong))
	lastOwners := map[string]*deployment.Host{"/own/0": strong, "/own/1": strong}
	r.countMoves(lastOwners, map[string]*deployment.Host{"/own/0": weak})
	r.countMoves(lastOwners, map[string]*deployment.Host{"/own/0": weak, "/own/1": strong})
	r.countMoves(lastOwners, map[string]*deployment.Host{"/own/0": strong})
	require.Equal(t, 1, r.result.MovesToWeak)
	require.Equal(t, 1, r.result.MovesToStrong)
}

// Guards against time bounds that apply although the options omit them, and against missing ones otherwise.
func TestTimeBoundsOption(t *testing.T) {
	withTimeBounds := (&runner{}).bounds(true)
	require.Equal(t, history.Bounds{LeavingDelay: 3 * time.Second, InForceDelay: inForceBound, RunComplete: true, WithOtherFailures: true}, withTimeBounds)
	withoutTimeBounds := (&runner{options: Options{WithoutTimeBounds: true}}).bounds(false)
	require.Equal(t, history.Bounds{LeavingDelay: noBound, InForceDelay: noBound, WithOtherFailures: true}, withoutTimeBounds)
}
