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

// TestMain lets the test binary serve as the relay hosts.
func TestMain(m *testing.M) {
	deployment.RunChild()
	os.Exit(m.Run())
}

const (
	shortSeed = 1
	shortTime = 8 * time.Second
	// waitLimit bounds waits for the kernel and for processes.
	waitLimit = 30 * time.Second
	pollEvery = 20 * time.Millisecond
)

func shortOptions(t *testing.T) Options {
	o := Options{Deployment: deployment.Small(), Duration: shortTime, Seed: shortSeed, Untimed: true}
	o.Deployment.Hosts, o.Deployment.Cells, o.Deployment.LogDir = 6, 6, t.TempDir()
	o.Deployment.UseProxies, o.Deployment.StrongMilliCPU, o.Deployment.WeakMilliCPU = true, 2000, 500
	return o
}

func shortSize(o deployment.Options) Size {
	strong := []string{"nelson-1", "richmond-1", "motueka-1"}
	return Size{
		Processes: true,
		Hosts:     append(strong, "nelson-2", "richmond-2", "motueka-2"), Strong: strong, DataCentres: o.DataCentres, Targets: o.Targets, Workers: o.Workers,
	}
}

// overlap lays a rolling restart, a table that changes all the time, a pause, a kill in the middle of a planned stop,
// hang-ups and failures of connections over the schedule of the seed.
const overlap = `
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

// Guards against promises that break when failures overlap. The bounds in time are left out, so that the verdict does not
// depend on the speed of the machine.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	o := shortOptions(t)
	steps, err := Parse(strings.NewReader(overlap))
	require.NoError(t, err)
	o.Schedule = slices.Concat(steps, Generate(o.Seed, o.Duration, shortSize(o.Deployment)))
	sortSteps(o.Schedule)
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	t.Logf("%d events, %d cells passed to weak hosts and %d to strong ones; notes: %s", len(r.Events), r.MovesToWeak, r.MovesToStrong, strings.Join(r.Notes, "\n"))
	require.Empty(t, r.Violations)
}

// Guards against checks of a whole run that cannot fail: a target runs each request twice.
func TestSoakFindsBrokenPromises(t *testing.T) {
	t.Parallel()
	o := shortOptions(t)
	o.Deployment.Hosts, o.Deployment.Cells, o.Deployment.StrongMilliCPU, o.Deployment.WeakMilliCPU = 3, 3, 0, 0
	o.Duration = checkInterval + time.Second
	o.Schedule = []Step{{At: 0, Words: []string{"target", "fault", "0", "double"}}}
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	isP6 := func(text string) bool { return strings.Contains(text, "P6: ") }
	require.True(t, slices.ContainsFunc(r.Violations, isP6))
	require.True(t, slices.ContainsFunc(r.Notes, isP6), "the check during the run must see it too")
}

// Guards against a process that ends by itself and is taken for one that the schedule stopped, and against a hang-up
// that ends a host.
func TestCrashIsFound(t *testing.T) {
	o := shortOptions(t).Deployment
	o.Hosts, o.Cells = 3, 3
	d, err := deployment.Start(t.Context(), o)
	require.NoError(t, err)
	defer d.Stop()
	require.NoError(t, d.Hosts[0].HangUp())
	require.NoError(t, d.Hosts[1].Kill(t.Context()))
	require.NoError(t, syscall.Kill(d.Hosts[2].PID(), syscall.SIGKILL))
	require.Eventually(t, d.Hosts[2].Crashed, waitLimit, pollEvery)
	require.False(t, d.Hosts[1].Crashed())
	response, err := http.Get("http://" + d.Hosts[0].Settings.OperatorAddress + "/healthz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.False(t, d.Hosts[0].Crashed())
	require.Error(t, d.Hosts[0].Start(), "a host that runs must not be started twice")
	r := &runner{actions: action.New(d), result: &Result{}}
	r.lookForCrashes()
	require.Len(t, r.result.Violations, 1)
	require.Contains(t, r.result.Violations[0], d.Hosts[2].ID())
	require.True(t, d.Hosts[2].Running())
}

// Guards against cells that stay with weak hosts unnoticed, and against moves that are not counted.
func TestWeakOwnersAreFound(t *testing.T) {
	strong, weak := &deployment.Host{}, &deployment.Host{}
	strong.Settings.HostID, weak.Settings.HostID = "s", "w"
	strong.SetMilliCPU(2000)
	weak.SetMilliCPU(500)
	r := &runner{result: &Result{}}
	r.options.Deployment.StrongMilliCPU = 2000
	require.Equal(t, []string{"/own/1 of w"}, weakOwners(map[string]*deployment.Host{"/own/0": strong, "/own/1": weak}, r.strong))
	last := map[string]*deployment.Host{"/own/0": strong, "/own/1": strong}
	r.countMoves(last, map[string]*deployment.Host{"/own/0": weak})
	r.countMoves(last, map[string]*deployment.Host{"/own/0": weak, "/own/1": strong})
	r.countMoves(last, map[string]*deployment.Host{"/own/0": strong})
	require.Equal(t, 1, r.result.MovesToWeak)
	require.Equal(t, 1, r.result.MovesToStrong)
}

// Guards against a run without bounds in time that still has one, and against a timed one that has lost them.
func TestBoundsOfRuns(t *testing.T) {
	timed := (&runner{}).bounds(true)
	require.Equal(t, history.Bounds{LeavingDelay: 3 * time.Second, InForceDelay: inForce, RunComplete: true, WithOtherFailures: true}, timed)
	free := (&runner{options: Options{Untimed: true}}).bounds(false)
	require.Equal(t, history.Bounds{LeavingDelay: untimed, InForceDelay: untimed, WithOtherFailures: true}, free)
}
