package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	serviceName = "huvo11a"
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	// attempts is the number of runs that a task of the queue has.
	attempts = 2
)

var zoneNames = []string{"nelson", "richmond", "motueka"}

// cluster is a small deployment: hosts of the system under test, and stand-ins of the store and of the workers.
type cluster struct {
	store   *store
	workers []*worker
	hosts   []*host
	runs    *runLog
	dir     string
	stop    chan struct{}
	// block holds the block of ports of this harness. firstPort is its first port, nextPort the next one for a host.
	block               net.Listener
	firstPort, nextPort int

	// mu guards the record file.
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	client *http.Client
}

// record writes a line with the time since the start to the record of the case.
func (c *cluster) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file != nil {
		_, _ = fmt.Fprintf(c.file, "%9.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// newCluster starts the stand-ins and the hosts, and waits until the system serves.
func newCluster(recordPath string, workers, hosts int) (*cluster, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		store: newStore(), dir: dir, stop: make(chan struct{}), file: file, began: time.Now(),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	c.runs = newRunLog(c.record)
	if c.firstPort, c.block, err = takeBlock(); err != nil {
		return c, err
	}
	c.nextPort = c.firstPort + 1
	go c.store.expireLeases(c.stop)
	c.store.write("op/config", []byte(manifest()), 0)
	for n := range workers {
		w := &worker{id: fmt.Sprintf("i-7f3a91c%d", n), address: "127.0.0.1:0", cluster: c}
		if err := w.begin(); err != nil {
			return c, err
		}
		go w.lapse(c.stop)
		c.workers = append(c.workers, w)
	}
	for n := range hosts {
		h, err := c.newHost(n)
		if err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
		if err := h.start(); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

func manifest() string {
	return fmt.Sprintf(`{"Version":7,"Routes":[{"Name":"r-3hwrr6x","Host":%q,"Prefix":%q,"Kind":"unsafe","TimeoutMs":3000,"SloMs":250,`+
		`"Priority":0,"Service":%q,"Attempts":%d,"Stretch":1.5}],"Services":[{"Name":%q,"HealthPath":"/healthz","MaxConns":64,`+
		`"Protocol":"h1","Tls":false,"RejectsOverload":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, queueHost, queuePrefix, serviceName, attempts, serviceName)
}

// awaitReady waits until every host reports that it is ready, and the system has accepted and completed a job.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range c.hosts {
		for !c.ready(h) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for n := range 100 {
		id := fmt.Sprintf("%016x", 0xabc000000000+n)
		if c.submit(c.hosts[0], id, "10") == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the system accepts no job")
}

func (c *cluster) ready(h *host) bool {
	r, err := c.client.Get("http://" + h.readyAddr + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// owner returns the host that the store names as the owner of the cell, or nil. The record of the owner holds the name
// of its host.
func (c *cluster) owner() *host {
	value := string(c.store.value("/own/0"))
	for _, h := range c.hosts {
		if containsName(value, h.name) {
			return h
		}
	}
	return nil
}

// close ends everything that the case started.
func (c *cluster) close() {
	close(c.stop)
	for _, h := range c.hosts {
		h.kill()
	}
	if c.block != nil {
		_ = c.block.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.file.Close()
	c.file = nil
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
		return
	}
	fmt.Println("logs:", filepath.Clean(c.dir))
}
