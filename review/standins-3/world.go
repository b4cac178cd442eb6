package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/platform/platformtest"
)

// world is a small deployment: a store, workers, and hosts as processes.
type world struct {
	relayd string
	dir    string
	begun  time.Time

	mu      sync.Mutex
	record  *os.File
	hosts   []*host
	workers []*worker
	servers []*http.Server

	store *platformtest.Store
	// tap sees each call of a host to the store before the store does. If it returns true, it has handled the call.
	tap func(h *host, w http.ResponseWriter, r *http.Request) bool
}

// host is a relay host.
type host struct {
	name                string
	front, ready, store string
	port                int
	settings, logPath   string
	cmd                 *exec.Cmd
	exited              chan struct{}
}

func newWorld(relayd, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{relayd: relayd, dir: dir, begun: time.Now(), record: f, store: platformtest.New()}, nil
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and servers.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// serve serves a handler on a free port of the loopback address and returns its address.
func (w *world) serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freePorts returns the first of n free ports in a row.
func freePorts(n int) (int, error) {
	for first := 20000 + (os.Getpid()*97)%12000; first < 32000; first += n {
		var open []net.Listener
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

// settingsText has the bounds of sites/kowhai-relay.toml. Each host gets a range of ports of its own, because all of them
// share one address.
const settingsText = `Node = %q
Role = "relay"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "nelson"
Region = "tasman"
PortRange = [%d,%d]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Orders = "call"
[Zones]
nelson = "tasman"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
MaxHoldMs = 6000
StopMs = 900
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
CrossRackFactor = 1.5
[platform]
Addr = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`

// addHosts prepares n hosts. They share the store, each through a listener of its own, so that the store knows them apart.
func (w *world) addHosts(n int) error {
	const portsPerHost = 8
	first, err := freePorts(n * portsPerHost)
	if err != nil {
		return err
	}
	for i := range n {
		port := first + i*portsPerHost
		h := &host{
			name: fmt.Sprintf("front-nelson-%d", i+1), port: port,
			front: fmt.Sprintf("127.0.0.1:%d", port+4), ready: fmt.Sprintf("127.0.0.1:%d", port+5),
		}
		h.store, err = w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveStore(h, rw, r) }))
		if err != nil {
			return err
		}
		h.settings = filepath.Join(w.dir, h.name+".toml")
		h.logPath = filepath.Join(w.dir, h.name+".log")
		text := fmt.Sprintf(settingsText, h.name, port, port+3, h.front, h.ready, h.store)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	return nil
}

func (w *world) serveStore(h *host, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	tap := w.tap
	w.mu.Unlock()
	if tap != nil && tap(h, rw, r) {
		return
	}
	time.Sleep(storeAnswerTime)
	w.store.ServeHTTP(rw, r)
}

// storeAnswerTime is the answer time of the store of the site.
const storeAnswerTime = 4 * time.Millisecond

func (w *world) setTap(tap func(h *host, w http.ResponseWriter, r *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tap = tap
}

// start starts the process of a host, with the command of the deploy file.
func (w *world) start(h *host) error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(w.relayd, "platform")
	cmd.Env = append(os.Environ(), "BULRUSHRELAY_SETTINGS="+h.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		w.log("%s has ended: %v", h.name, err)
		close(exited)
	}()
	w.log("%s started", h.name)
	return nil
}

func (h *host) signal(s os.Signal) {
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// awaitReady waits until the health checks of the given hosts are good.
func (w *world) awaitReady(hosts ...*host) bool {
	return await(20*time.Second, func() bool {
		for _, h := range hosts {
			if status, _ := call(http.MethodGet, h.ready, "", "/-/readyz", "", time.Second); status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// route is a queue of the manifest.
type route struct {
	Name, Host, Prefix, Kind, Service    string
	TimeoutMs, SloMs, Priority, Attempts int
	Stretch                              float64
}

// queue is the host name of all routes, service the pool of the workers.
const (
	queueHost = "nony24.example"
	service   = "booking"
)

func newRoute(name string) route {
	return route{
		Name: "r-" + name, Host: queueHost, Prefix: "/" + name + "/", Kind: "unsafe", Service: service, TimeoutMs: 3000, SloMs: 1000,
		Priority: 1, Attempts: 2, Stretch: 2,
	}
}

// putManifest writes a version of the manifest, as the operator does.
func (w *world) putManifest(version int, routes ...route) {
	body, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{
			"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "RejectsOverload": true,
		}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	w.store.Put("op/config", body)
	var names []string
	for _, r := range routes {
		names = append(names, r.Prefix)
	}
	w.log("the store has acknowledged manifest %d with the routes %s", version, strings.Join(names, " "))
}

// owner returns the host that owns the cell by the record in the store; nil if there is none.
func (w *world) owner() *host {
	record := string(w.store.Value("/own/0"))
	for _, h := range w.hosts {
		if strings.Contains(record, h.name) {
			return h
		}
	}
	return nil
}

const sigterm = syscall.SIGTERM
