package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// relayProcess is one machine of the system.
type relayProcess struct {
	name, ip, front, ready, settings, logFile string
	cmd                                       *exec.Cmd
}

const settingsFormat = `Node = %q
Role = "relay"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = "nelson"
Region = "tasman"
PortRange = [%d,%d]
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
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
MaxHoldMs = 6000
StopMs = 900
cancel_ms = 3000
visible_ms = 3000
status_s = 120
CheckpointS = 2
LeaseMs = 3000
[platform]
Addr = %q
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
`

const (
	// portsPerMachine is the number of ports of a machine, and portBlocks the number of blocks of that size from firstPort
	// on, below the ports that the system gives to outgoing connections.
	portsPerMachine, portBlocks, firstPort = 20, 600, 20000
)

// freePorts returns the first of a block of free ports of ip. Processes that play at the same time begin with different
// blocks.
func freePorts(ip string) (int, error) {
	for n := range portBlocks {
		first := firstPort + (os.Getpid()+n)%portBlocks*portsPerMachine
		free := true
		for p := first; p < first+portsPerMachine && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports on %s", portsPerMachine, ip)
}

// newRelay writes the settings of a machine into dir.
func newRelay(n int, dir, store string) (*relayProcess, error) {
	ip := fmt.Sprintf("127.0.0.%d", 10+n)
	first, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	p := &relayProcess{
		name: fmt.Sprintf("front-nelson-%d", n), ip: ip,
		front: fmt.Sprintf("%s:%d", ip, first), ready: fmt.Sprintf("%s:%d", ip, first+1),
	}
	p.settings = filepath.Join(dir, p.name+".toml")
	p.logFile = filepath.Join(dir, p.name+".log")
	text := fmt.Sprintf(settingsFormat, p.name, ip, first+2, first+17, p.front, p.ready, store)
	return p, os.WriteFile(p.settings, []byte(text), 0o644)
}

// start starts the process with the command of the deploy file.
func (p *relayProcess) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("target/relayd", "platform")
	p.cmd.Env = append(os.Environ(), "BULRUSHRELAY_SETTINGS="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	return p.cmd.Start()
}

func (p *relayProcess) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

func (p *relayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.ready+"/-/readyz", nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// step is a step of a job.
type step struct {
	Count      int
	Cpu        int //nolint:revive // The name on the wire.
	MemMb      int
	EstimateMs int
	After      []int  `json:",omitempty"`
	Requires   string `json:",omitempty"`
	Checkpoint bool   `json:",omitempty"`
}

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// call sends one request of a client and returns the status, 0 if there was no complete answer, and the body.
func call(rec *recorder, p *relayProcess, method, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		content = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+queuePrefix+id, content)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	rec.note("client: %s %s to %s", method, id, p.name)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		rec.note("client: %s %s: no answer: %v", method, id, err)
		return 0, err.Error()
	}
	defer res.Body.Close() //nolint:errcheck // The body was read.
	text, _ := io.ReadAll(res.Body)
	rec.note("client: %s %s: %d %s", method, id, res.StatusCode, bytes.TrimSpace(text))
	return res.StatusCode, string(text)
}
