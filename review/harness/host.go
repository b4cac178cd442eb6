package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, and programArgs its arguments.
const program = "target/relayd"

var programArgs = []string{"platform"}

// host is a host of the system under test.
type host struct {
	cluster                *cluster
	name                   string
	frontAddr, readyAddr   string
	settingsPath, logsPath string
	// store is how this host reaches the store.
	store access

	// mu guards cmd, which is nil while the process is down.
	mu  sync.Mutex
	cmd *exec.Cmd
}

func containsName(value, name string) bool {
	return strings.Contains(value, name)
}

// The ports of the hosts lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
	// portsPerHost are those for clients, readiness checks and the operator, and two between the hosts.
	portsPerHost = 5
)

// freePorts returns the first of n free ports in a row on the loopback address.
func freePorts(n int) (int, error) {
	for range 1000 {
		first := firstPort + rand.IntN(portCount)
		free := 0
		for free < n && isFree(first+free) {
			free++
		}
		if free == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// newHost writes the settings of a host.
func (c *cluster) newHost(n int) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	zone := zoneNames[n%len(zoneNames)]
	port, err := freePorts(portsPerHost)
	if err != nil {
		return nil, err
	}
	h := &host{
		cluster: c, name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zoneNames)),
		frontAddr: fmt.Sprintf("127.0.0.1:%d", port), readyAddr: fmt.Sprintf("127.0.0.1:%d", port+1),
	}
	h.settingsPath, h.logsPath = filepath.Join(c.dir, h.name+".toml"), filepath.Join(c.dir, h.name+".log")
	server := &http.Server{Handler: h.store.handler(c.store), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	settings := fmt.Sprintf(`Node = %q
Role = "relay"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = %q
Region = "tasman"
PortRange = [%d, %d]
Seeds = []
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "call"
[Zones]
nelson = "tasman"
richmond = "tasman"
motueka = "tasman"
[Listen]
Front = %q
Ready = %q
Control = "127.0.0.1:%d"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
RecoveryS = 12
MaxHoldMs = 6000
StopMs = 900
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
Addr = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`, h.name, zone, port+3, port+4, h.frontAddr, h.readyAddr, port+2, l.Addr().String())
	return h, os.WriteFile(h.settingsPath, []byte(settings), 0o600)
}

// start starts the process of the host as the deploy file does.
func (h *host) start() error {
	logs, err := os.OpenFile(h.logsPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	cmd := exec.Command(program, programArgs...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHRELAY_SETTINGS=" + h.settingsPath}
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
	h.cluster.record("host %s started, process %d", h.name, cmd.Process.Pid)
	return nil
}

// kill kills the process of the host and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	h.cluster.record("host %s killed", h.name)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
}

// restartAfter starts the process again after a delay, as the platform does.
func (h *host) restartAfter(d time.Duration) {
	time.Sleep(d)
	if err := h.start(); err != nil {
		h.cluster.record("%v", err)
	}
}
