package clientlimits

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/platform/platformtest"
	"github.com/bulrushrelay/bulrushrelay/standin/hostlist"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
)

const (
	hostIP        = "127.0.0.1"
	operatorToken = "clientlimits-edit-token"
	tableCSV      = "name,kind,idempotent,tenant,weight,deadline (ms)\nc,latency-critical,yes,t,1,5000\n"
	retryInterval = 250 * time.Millisecond
	// attemptLimit ends one attempt of an ordinary client, which then tries again.
	attemptLimit = 15 * time.Second
)

// port is one port of a process that a client can reach.
type port struct {
	address string
	// targets are the routes to which clients send bodies.
	targets []bodyTarget
	// ordinary performs one ordinary request.
	ordinary func() error
	// connections is the number of clients that fit on the port beside the ordinary one.
	connections int
}

// bodyTarget is a route with the largest body that it takes. The body begins with prefix.
type bodyTarget struct {
	method, path, host string
	header, prefix     string
	bytes              int
}

// host is a process with its ports by name.
type host struct {
	*process
	ports map[string]port
}

// ordinaryRequest returns a request that must be answered with one of the statuses.
func ordinaryRequest(method, url, host, body string, statuses ...int) func() error {
	return func() error {
		client := http.Client{Timeout: attemptLimit, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return err
		}
		if host != "" {
			r.Host = host
		}
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		if err != nil {
			return err
		}
		var answer bytes.Buffer
		_, err = answer.ReadFrom(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		for _, s := range statuses {
			if s == response.StatusCode {
				return nil
			}
		}
		return fmt.Errorf("status %d: %.200s", response.StatusCode, answer.String())
	}
}

// requireAnswered performs an ordinary request until it is answered, as a client that tries again does.
func requireAnswered(t *testing.T, p *process, request func() error) {
	t.Helper()
	started := time.Now()
	var err error
	for time.Since(started) < hangLimit {
		if err = request(); err == nil {
			return
		}
		require.True(t, p.alive(), "the process has ended; the last answer: %v", err)
		time.Sleep(retryInterval)
	}
	require.NoError(t, err, "an ordinary request is not answered")
}

// startHost starts relayd with little memory.
func startHost(t *testing.T) host {
	t.Helper()
	return startHostWith(t, givenDescriptors, fmt.Sprintf("GOMEMLIMIT=%dMiB", givenMemoryMB))
}

// startHostWith starts relayd with stand-ins of a store, a host list and a target, and a table of one class.
func startHostWith(t *testing.T, descriptors int, environment ...string) host {
	t.Helper()
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := grpc.NewServer()
	kv.Register(store, kv.New(kv.Config{}).Client("host"))
	go func() { _ = store.Serve(storeListener) }()
	t.Cleanup(store.Stop)
	list, err := hostlist.Start("127.0.0.1:0", 0)
	require.NoError(t, err)
	backend, err := target.Start("127.0.0.1:0", time.Millisecond)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = list.Close()
		_ = backend.Close()
	})
	list.Set([]hostlist.Host{{ID: "target-1", Address: backend.Address(), Kind: "target", DataCentre: "north", Rack: "r1", State: "live"}})
	a := freeAddresses(t, hostIP, 3)
	settings := daemon.Settings{
		HostID: "a1", DataCentre: "north", DataCentres: []string{"north"}, Cells: 1,
		CallerAddress: a[0], PeerAddress: a[1], OperatorAddress: a[2],
		StoreEndpoints: []string{storeListener.Addr().String()}, HostListURL: list.URL(),
		EditTokens: []string{operatorToken}, Plain: true,
	}
	p := startRelayd(t, descriptors, append(daemon.Environment(settings), environment...))
	requireAnswered(t, p, ordinaryRequest(http.MethodGet, "http://"+a[2]+"/healthz", "", "", http.StatusOK))
	operator := operatorhttp.Client{BaseURL: "http://" + a[2], Token: operatorToken, HTTP: http.DefaultClient}
	requireAnswered(t, p, func() error {
		_, err := operator.Put(t.Context(), operatorhttp.ChangeMetadata{Author: "test", Reason: "test", Nonce: "clientlimits-0001"}, operatorhttp.CSV([]byte(tableCSV)))
		return err
	})
	call := ordinaryRequest(http.MethodPost, "http://"+a[0]+"/v1/run/c/ordinary", "", "small", http.StatusOK)
	requireAnswered(t, p, call)
	return host{p, map[string]port{
		"callers": {address: a[0], ordinary: call, connections: 220, targets: []bodyTarget{
			{method: "POST", path: "/v1/run/c/x", bytes: 1 << 20},
			{method: "POST", path: "/v1/jobs", bytes: 512 << 10, prefix: `{"class":"`},
		}},
		"operators": {
			address: a[2], connections: 220, ordinary: ordinaryRequest(http.MethodGet, "http://"+a[2]+"/readyz", "", "", http.StatusOK),
			targets: []bodyTarget{
				{method: "GET", path: "/readyz", bytes: 1 << 20},
				{method: "PUT", path: "/v1/table?author=a&reason=r", bytes: 2 << 20, header: "If-Match: \"1\"\r\nContent-Type: text/csv\r\nAuthorization: Bearer guessed-token-0123\r\n"},
			},
		},
		"peers": {address: a[1], ordinary: call},
	}}
}

const (
	queueHost = "queue.example"
	queuePath = "/q/"
	// manifest allows bodies of 1 MB, so that few clients are enough.
	manifest = `{"Version":7,"Routes":[{"Name":"q","Host":"queue.example","Prefix":"/q/","Kind":"unsafe","TimeoutMs":3000,"SloMs":1000,"Priority":2,` +
		`"Service":"s","Attempts":1,"Stretch":2.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576}}`
	registration = `{"Service":"s","Addr":"127.0.0.1:9","Zone":"north","State":"ready","Labels":["m","r1"],"Capacity":{"Cpu":8000,"MemMb":64000,"Gpu":0}}`

	settingsFormat = `Node = "front-1"
Ip = %q
Zone = "north"
Region = "east"
PortRange = [%s,%s]
[Zones]
north = "east"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = %d
[Bounds]
GraceS = 6
MaxHoldMs = 6000
StopMs = 900
status_s = 120
[platform]
Addr = %q
form = "kv"
WritesPerS = 400
MinTtlMs = 1000
`
)

// startPlatformHost starts relayd platform with a stand-in of the platform's store.
func startPlatformHost(t *testing.T) host {
	t.Helper()
	store := platformtest.New()
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(storeListener) }()
	t.Cleanup(func() { _ = server.Close() })
	store.Put("op/config", []byte(manifest))
	store.Put("servers/w1", []byte(registration))
	a := freeAddresses(t, hostIP, 4)
	portOf := func(address string) string {
		_, p, err := net.SplitHostPort(address)
		require.NoError(t, err)
		return p
	}
	settings := filepath.Join(t.TempDir(), "boot.toml")
	text := fmt.Sprintf(settingsFormat, hostIP, portOf(a[2]), portOf(a[3]), a[0], a[1], givenMemoryMB, givenDescriptors, storeListener.Addr())
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	p := startRelayd(t, givenDescriptors, nil, "platform", "--settings", settings)
	ready := ordinaryRequest(http.MethodGet, "http://"+a[1]+"/-/readyz", "", "", http.StatusOK)
	requireAnswered(t, p, ready)
	call := ordinaryRequest(http.MethodGet, "http://"+a[0]+queuePath, queueHost, "", http.StatusOK)
	requireAnswered(t, p, call)
	return host{p, map[string]port{
		"front": {address: a[0], ordinary: call, connections: 220, targets: []bodyTarget{
			{method: "POST", path: queuePath + "%016x", host: queueHost, bytes: 1 << 20, prefix: `{"Spec":"`},
		}},
		"ready": {
			address: a[1], ordinary: ready, connections: 56,
			targets: []bodyTarget{{method: "GET", path: "/-/readyz", bytes: 1 << 20}},
		},
		"metrics": {
			address: a[3], connections: 56, ordinary: ordinaryRequest(http.MethodGet, "http://"+a[3]+"/metrics", "", "", http.StatusOK),
			targets: []bodyTarget{{method: "GET", path: "/metrics", bytes: 1 << 20}},
		},
		"peers": {address: a[2], ordinary: call},
	}}
}
