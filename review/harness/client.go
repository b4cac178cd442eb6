package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call makes a call of a client and returns the status of the answer, 0 if there is none, and its body.
func (c *cluster) call(method string, h *host, id, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+h.frontAddr+queuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	answer, err := c.client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, strings.TrimSpace(string(text))
}

// submit hands in a job of one task with a spec for the workers.
func (c *cluster) submit(h *host, id, spec string) int {
	body := fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":100}]}`, spec)
	status, text := c.call(http.MethodPost, h, id, body)
	c.record("client: POST %s spec %q at %s: %d %s", id, spec, h.name, status, text)
	return status
}

// state asks for the state of a job. It is empty if there is no answer with one.
func (c *cluster) state(h *host, id string) (int, string) {
	status, text := c.call(http.MethodGet, h, id, "")
	var body struct{ State string }
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
		return status, body.State
	}
	return status, ""
}

// traffic hands in jobs at a steady rate and remembers which were accepted.
type traffic struct {
	cluster *cluster
	// specOf returns the spec of the nth job.
	specOf func(n int) string

	// mu guards accepted, because jobs are handed in concurrently.
	mu       sync.Mutex
	accepted []string
	sending  sync.WaitGroup
}

// run hands in jobs until stop is closed, and waits for the last answers. A job without an answer, or with a 502 or a
// 504, is handed in again at another host, at most four times.
func (t *traffic) run(every time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
		case <-stop:
			t.sending.Wait()
			return
		}
		t.sending.Go(func() {
			id, spec := fmt.Sprintf("%016x", 0x5c0e000000000000+n), t.specOf(n)
			for try := range 5 {
				switch status := t.cluster.submit(t.cluster.hosts[(n+try)%len(t.cluster.hosts)], id, spec); status {
				case http.StatusOK:
					t.mu.Lock()
					t.accepted = append(t.accepted, id)
					t.mu.Unlock()
					return
				case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
					time.Sleep(200 * time.Millisecond)
				default:
					return
				}
			}
		})
	}
}

func (t *traffic) acceptedJobs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.accepted...)
}

// unanswered asks every host for the jobs until limit has passed, and returns those that no host has answered with a
// state.
func (c *cluster) unanswered(ids []string, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	for {
		var open []string
		for _, id := range ids {
			if len(open) > 0 && time.Now().After(deadline) {
				open = append(open, id)
				continue
			}
			if !c.answered(id) {
				open = append(open, id)
			}
		}
		if len(open) == 0 || time.Now().After(deadline) {
			return open
		}
		ids = open
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *cluster) answered(id string) bool {
	for _, h := range c.hosts {
		status, state := c.state(h, id)
		c.record("client: GET %s at %s: %d %s", id, h.name, status, state)
		if state != "" {
			return true
		}
	}
	return false
}
