package clientlimits

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What each process is given, and the bounds that the tests check. They are fixed; a change of them makes the results
// incomparable.
const (
	// givenMemoryMB is the memory that a process is told it has, and the bound on its resident memory.
	givenMemoryMB = 80
	// givenDescriptors is the limit on the open files of a process. maxDescriptors is the bound on those that it opens:
	// a fifth must be left for workers, targets, the store and other hosts.
	givenDescriptors = 400
	maxDescriptors   = 320
	// unstatedMemoryMB is the bound on the resident memory of a process that is not told how much it has. It has
	// ampleDescriptors and gets manyConnections.
	unstatedMemoryMB = 200
	ampleDescriptors = 2000
	manyConnections  = 600

	// settleTime is how long the memory must not grow before it counts as settled: what clients have sent waits in the
	// sockets at first.
	settleTime = 3 * time.Second
	// settleInterval is the time between two looks at the memory.
	settleInterval = 100 * time.Millisecond

	sampleInterval = 20 * time.Millisecond
	// hangLimit ends a test whose process does not answer any more. It is no bound on the time of an answer.
	hangLimit = 90 * time.Second
)

// relayd is the path of the program, which TestMain builds.
var relayd string

// TestMain builds relayd.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clientlimits")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	relayd = filepath.Join(dir, "relayd")
	build := exec.Command("go", "build", "-o", relayd, "./cmd/relayd")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is a running relay host.
type process struct {
	command *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
	// mostDescriptors is the largest number of open descriptors seen so far.
	mostDescriptors atomic.Int64
}

// startRelayd starts relayd with a limit on descriptors, and kills it when the test ends.
func startRelayd(t *testing.T, descriptors int, environment []string, args ...string) *process {
	t.Helper()
	shell := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p := &process{
		command: exec.Command("sh", append([]string{"-c", shell, relayd}, args...)...),
		log:     &bytes.Buffer{}, exited: make(chan struct{}),
	}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	go p.sampleDescriptors()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("the last lines of the process:\n%s", lastBytes(p.log.Bytes(), 3000))
		}
	})
	return p
}

func lastBytes(b []byte, n int) []byte {
	return b[max(0, len(b)-n):]
}

func (p *process) sampleDescriptors() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			if n := int64(len(entries)); err == nil && n > p.mostDescriptors.Load() {
				p.mostDescriptors.Store(n)
			}
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemoryMB returns the largest resident memory of the process so far.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(t, err, "the process has ended")
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(t, err)
			return kb >> 10
		}
	}
	require.Fail(t, "the process has no VmHWM line")
	return 0
}

// awaitSettled waits until the memory of the process does not grow any more.
func (p *process) awaitSettled(t *testing.T) {
	t.Helper()
	for most, since := 0, time.Now(); p.alive() && time.Since(since) < settleTime; time.Sleep(settleInterval) {
		if now := p.peakMemoryMB(t); now > most {
			most, since = now, time.Now()
		}
	}
}

// requireWithinBounds fails unless the process lives and has stayed under its bounds.
func (p *process) requireWithinBounds(t *testing.T) {
	t.Helper()
	p.requireMemoryBelow(t, givenMemoryMB)
	descriptors := p.mostDescriptors.Load()
	t.Logf("most descriptors %d", descriptors)
	if descriptors > maxDescriptors {
		t.Errorf("%d open descriptors, bound %d", descriptors, maxDescriptors)
	}
}

// requireMemoryBelow fails unless the process lives and its resident memory has stayed at limitMB or below.
func (p *process) requireMemoryBelow(t *testing.T, limitMB int) {
	t.Helper()
	require.True(t, p.alive(), "the process has ended")
	memory := p.peakMemoryMB(t)
	t.Logf("peak memory %d MB", memory)
	if memory > limitMB {
		t.Errorf("resident memory of %d MB, bound %d MB", memory, limitMB)
	}
}

// freeAddresses returns n consecutive free ports of an address of the loopback network.
func freeAddresses(t *testing.T, ip string, n int) []string {
	t.Helper()
	const first, last = 20_000, 32_000
	start := os.Getpid() % (last - first)
	for offset := 0; offset < last-first; offset += n {
		port := first + (start+offset)%(last-first-n)
		var addresses []string
		for i := range n {
			address := net.JoinHostPort(ip, strconv.Itoa(port+i))
			l, err := net.Listen("tcp", address)
			if err != nil {
				break
			}
			_ = l.Close()
			addresses = append(addresses, address)
		}
		if len(addresses) == n {
			return addresses
		}
	}
	require.Fail(t, "no free ports")
	return nil
}
