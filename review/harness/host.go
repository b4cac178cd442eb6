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
	// reserved holds the ports of the host until its first start.
	reserved []net.Listener
	// store is how this host reaches the store.
	store access

	// mu guards cmd, which is nil while the process is down.
	mu  sync.Mutex
	cmd *exec.Cmd
}

func containsName(value, name string) bool {
	return strings.Contains(value, name)
}

// The ports of the hosts lie below those that the system gives to outgoing connections. Each harness takes one block.
const (
	firstPort  = 20000
	blockCount = 60
	blockSize  = 200
	// portsPerHost are those for clients, readiness checks and the operator, and two between the hosts.
	portsPerHost = 5
)

// takeBlock takes a free block of ports. It holds the first port of the block, so that no other harness takes the block.
func takeBlock() (first int, held net.Listener, err error) {
	for range 10 * blockCount {
		first = firstPort + blockSize*rand.IntN(blockCount)
		if held, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return first, held, nil
		}
	}
	return 0, nil, fmt.Errorf("no free block of ports: %w", err)
}

// reservePorts reserves the next n free ports in a row of the block, and returns the first.
func (c *cluster) reservePorts(n int) (first int, reserved []net.Listener, err error) {
	for c.nextPort+n < c.firstPort+blockSize {
		first = c.nextPort
		c.nextPort += n
		reserved = nil
		for len(reserved) < n {
			var l net.Listener
			if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+len(reserved))); err != nil {
				break
			}
			reserved = append(reserved, l)
		}
		if len(reserved) == n {
			return first, reserved, nil
		}
		closeAll(reserved)
	}
	return 0, nil, fmt.Errorf("no %d free ports in a row", n)
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

// newHost writes the settings of a host.
func (c *cluster) newHost(n int) (*host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	zone := zoneNames[n%len(zoneNames)]
	port, reserved, err := c.reservePorts(portsPerHost)
	if err != nil {
		return nil, err
	}
	h := &host{
		cluster: c, reserved: reserved, name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zoneNames)),
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
	closeAll(h.reserved)
	h.reserved = nil
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

// restart stops the process of the host as the platform does before planned work, and starts it again.
func (h *host) restart() error {
	h.mu.Lock()
	cmd := h.cmd
	h.cmd = nil
	h.mu.Unlock()
	if cmd == nil {
		return nil
	}
	h.cluster.record("host %s gets SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	return h.start()
}
