package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// peerNet lets a host be cut off from the store and from the other hosts. Each pair of hosts is connected through a proxy. Hosts
// learn the addresses of others from the store and from each other, so that the store and the proxies replace them by those
// of the proxies. All ports have five digits, so that the length stays the same.
type peerNet struct {
	w *world
	// port is the port of the proxy from one host to another.
	port map[[2]*host]int
	cut  atomic.Pointer[host]
	// lease is the last lease that the store granted to each host.
	mu    sync.Mutex
	lease map[*host]string
}

func newPeerNet(w *world) (*peerNet, error) {
	n := &peerNet{w: w, port: make(map[[2]*host]int), lease: make(map[*host]string)}
	for _, from := range w.hosts {
		for _, to := range w.hosts {
			if from == to {
				continue
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			n.port[[2]*host{from, to}] = l.Addr().(*net.TCPAddr).Port
			go n.accept(l, from, to)
		}
	}
	w.setTap(n.serveStore)
	return n, nil
}

func address(port int) []byte { return fmt.Appendf(nil, "127.0.0.1:%d", port) }

// translate replaces the addresses of hosts by those at which the reader reaches them.
func (n *peerNet) translate(b []byte, reader *host) []byte {
	for _, of := range n.w.hosts {
		seen := of.port
		if of != reader {
			seen = n.port[[2]*host{reader, of}]
		}
		for _, by := range n.w.hosts {
			if by != of {
				b = bytes.ReplaceAll(b, address(n.port[[2]*host{by, of}]), address(seen))
			}
		}
		b = bytes.ReplaceAll(b, address(of.port), address(seen))
	}
	return b
}

func (n *peerNet) isCut(hosts ...*host) bool {
	cut := n.cut.Load()
	for _, h := range hosts {
		if cut != nil && h == cut {
			return true
		}
	}
	return false
}

func (n *peerNet) accept(l net.Listener, from, to *host) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", string(address(to.port)))
		if err != nil {
			_ = in.Close()
			continue
		}
		go n.forward(out, in, to, from)
		go n.forward(in, out, from, to)
	}
}

// forward copies what one side sends to the other. While one of the hosts is cut off, everything is dropped silently. A channel that
// has lost something is closed by the first bytes after the cut.
func (n *peerNet) forward(dst, src net.Conn, reader, writer *host) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buffer := make([]byte, 64<<10)
	incomplete := false
	for {
		size, err := src.Read(buffer)
		switch {
		case err != nil:
			return
		case n.isCut(reader, writer):
			incomplete = true
			continue
		case incomplete:
			return
		}
		if _, err := dst.Write(n.translate(bytes.Clone(buffer[:size]), reader)); err != nil {
			return
		}
	}
}

// serveStore answers a call to the store, unless the host is cut off.
func (n *peerNet) serveStore(h *host, rw http.ResponseWriter, r *http.Request) bool {
	answer := httptest.NewRecorder()
	if !n.isCut(h) {
		n.w.store.ServeHTTP(answer, r)
	}
	if n.isCut(h) {
		<-r.Context().Done()
		return true
	}
	body := answer.Body.Bytes()
	if r.URL.Path == "/-/kv-lease" {
		var granted struct{ Lease int64 }
		_ = json.Unmarshal(body, &granted)
		n.mu.Lock()
		n.lease[h] = fmt.Sprint(granted.Lease)
		n.mu.Unlock()
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(n.translateItems(body, h))
	return true
}

// translateItems translates the values of the records of hosts in an answer.
func (n *peerNet) translateItems(body []byte, reader *host) []byte {
	var answer map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&answer) != nil {
		return body
	}
	one := func(item map[string]any) {
		key, _ := item["Key"].(string)
		value, _ := item["Value"].(string)
		raw, err := base64.StdEncoding.DecodeString(value)
		if err == nil && (strings.HasPrefix(key, "/member/") || strings.HasPrefix(key, "/roster/")) {
			item["Value"] = base64.StdEncoding.EncodeToString(n.translate(raw, reader))
		}
	}
	one(answer)
	for _, name := range []string{"items", "events"} {
		list, _ := answer[name].([]any)
		for _, i := range list {
			if item, ok := i.(map[string]any); ok {
				one(item)
			}
		}
	}
	out, err := json.Marshal(answer)
	if err != nil {
		return body
	}
	return out
}

// revoke ends the lease of a host in the store.
func (n *peerNet) revoke(h *host) {
	n.mu.Lock()
	id := n.lease[h]
	n.mu.Unlock()
	r := httptest.NewRequest(http.MethodDelete, "/-/kv-lease-end/"+id, io.NopCloser(strings.NewReader("")))
	n.w.store.ServeHTTP(httptest.NewRecorder(), r)
}

const (
	// cutFor is below for_s = 5.5 s of core_cut in the site file. cancelMs is cancel_ms of the site.
	cutFor     = 4 * time.Second
	cancelTime = 3 * time.Second
	stepsJob   = `{"Spec":"2500","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":2500},` +
		`{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":2500,"After":[0]},{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":2500,"After":[1]}]}`
)

func init() { cases["denied"] = playDenied }

// playDenied cuts the owner of the cell off from the store and the other hosts, and the store revokes its lease. Clients hand jobs
// in at the others and cancel them at the old owner.
func playDenied(w *world, trouble bool) int {
	w.putManifest(3, newRoute("old"))
	if w.addWorkers(4) != nil || w.addHosts(3) != nil {
		return exitNotRun
	}
	n, err := newPeerNet(w)
	if err != nil {
		return exitNotRun
	}
	for _, h := range w.hosts {
		if w.start(h) != nil {
			return exitNotRun
		}
	}
	if !w.awaitReady(w.hosts...) || !await(10*time.Second, func() bool { return w.owner() != nil }) {
		return exitNotRun
	}
	time.Sleep(8 * time.Second)
	owner := w.owner()
	var other *host
	for _, h := range w.hosts {
		if h != owner {
			other = h
		}
	}
	if trouble {
		w.log("%s, which owns the cell, is cut off from the store and the other hosts, and its lease is revoked", owner.name)
		n.cut.Store(owner)
		n.revoke(owner)
		time.AfterFunc(cutFor, func() {
			n.cut.Store(nil)
			w.log("the cut has healed")
		})
	}
	var jobs sync.WaitGroup
	var broken, cancelled atomic.Int64
	for i := range 20 {
		jobs.Go(func() { w.submitAndCancel(other, owner, fmt.Sprintf("%016x", 0xfade0000+i), &cancelled, &broken) })
		time.Sleep(50 * time.Millisecond)
	}
	jobs.Wait()
	w.log("%d of %d cancelled jobs were started later than cancel_ms after the acknowledgement", broken.Load(), cancelled.Load())
	switch {
	case cancelled.Load() == 0:
		return exitNotRun
	case broken.Load() > 0:
		return exitBroken
	default:
		return exitHeld
	}
}

// submitAndCancel hands a job in at one host and, once it is accepted, cancels it at another. It counts the job as broken if a task
// of it starts later than cancel_ms after the acknowledgement.
func (w *world) submitAndCancel(at, cancelAt *host, id string, cancelled, broken *atomic.Int64) {
	if status, _ := w.submit(at, "old", id, stepsJob); status != http.StatusOK {
		return
	}
	status, answer := call(http.MethodDelete, cancelAt.front, queueHost, "/old/"+id, "", clientDeadline)
	w.log("DELETE /old/%s at %s: %d %s", id, cancelAt.name, status, answer)
	if status != http.StatusOK && status != http.StatusGone {
		return
	}
	cancelled.Add(1)
	time.Sleep(cancelTime)
	before := w.runsOf(id)
	time.Sleep(8 * time.Second)
	if after := w.runsOf(id); after > before {
		w.log("job %s: %d runs were started later than %s after the answer %d to its cancellation", id, after-before, cancelTime, status)
		broken.Add(1)
	}
}
