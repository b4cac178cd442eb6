package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// In spells of spellTime with spellPause in between, there are burstFactor times as many jobs as usual, and
	// leavingShare of the clients break their channel within leavingTime after they have handed a job in, and hand it in
	// again at once at any host. The site file allows a factor of 2.6 for 6.9 s, and a share of 0.4 and 900 ms for 6 s.
	burstFactor  = 2.6
	leavingShare = 0.4
	leavingTime  = 125 * time.Millisecond
	spellTime    = 6 * time.Second
	spellPause   = time.Second
	// clientRetries is how often a client hands a job in again.
	clientRetries = 4
	// freezeTime is how long the host of the owner freezes each time, awakeTime how long it runs in between. The site file
	// allows freezes of 4 s; after one of 2 s or more another host is the owner.
	freezeTime = 900 * time.Millisecond
	awakeTime  = 600 * time.Millisecond
	freezes    = 55
	// arrivals is the usual time between two jobs of the clients: 11 a second, as on the site.
	arrivals = 91 * time.Millisecond
)

// freeze stops the process of the host for freezeTime.
func (h *host) freeze() {
	h.cluster.record("host %s freezes for %s", h.name, freezeTime)
	h.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	h.signal(syscall.SIGCONT)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// postOnce hands in a job once. The client breaks the channel after patience. The status is 0 without an answer.
func (c *cluster) postOnce(h *host, id string, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := `{"Spec":"60","Steps":[{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":100}]}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.frontAddr+queuePrefix+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	status := 0
	if answer, err := c.client.Do(r); err == nil {
		status = answer.StatusCode
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if status == 0 {
		c.record("client: POST %s at %s: the client breaks the channel after %s", id, h.name, patience)
	} else {
		c.record("client: POST %s at %s: %d", id, h.name, status)
	}
	return status
}

// inSpell reports whether there are more jobs than usual, and clients that leave.
func (c *cluster) inSpell() bool {
	return time.Since(c.began)%(spellTime+spellPause) < spellTime
}

// handIn hands in a job until it is accepted or refused, and reports whether it was accepted.
func (c *cluster) handIn(rng *rand.Rand, id string) bool {
	leaves := c.inSpell() && rng.Float64() < leavingShare
	for try := range 1 + clientRetries {
		patience := 3 * time.Second
		if leaves && try < clientRetries {
			patience = time.Duration(rng.Int64N(int64(leavingTime)))
		}
		switch c.postOnce(c.hosts[rng.IntN(len(c.hosts))], id, patience) {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			return false
		}
	}
	return false
}

// playWithdrawnSubmission freezes the host of the owner now and then, while some clients break their channels and hand
// their jobs in again. Each job that was accepted must be known afterwards.
func playWithdrawnSubmission(c *cluster, disrupt bool) ([]string, error) {
	var (
		mu       sync.Mutex
		accepted []string
		clients  sync.WaitGroup
		ended    = make(chan struct{})
	)
	go func() {
		defer close(ended)
		for range freezes {
			time.Sleep(awakeTime)
			if owner := c.owner(); disrupt && owner != nil {
				owner.freeze()
			} else {
				time.Sleep(freezeTime)
			}
		}
	}()
	for n := uint64(0); !isClosed(ended); n++ {
		pause := arrivals.Seconds()
		if c.inSpell() {
			pause /= burstFactor
		}
		time.Sleep(time.Duration(pause * float64(time.Second)))
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x7a00000000000000+n)
			if c.handIn(rand.New(rand.NewPCG(n, uint64(c.began.UnixNano()))), id) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	clients.Wait()
	time.Sleep(finishTime)
	var broken []string
	for _, id := range accepted {
		status, state := c.state(c.hosts[0], id)
		c.record("client: GET %s at %s: %d %s", id, c.hosts[0].name, status, state)
		if status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted with 200 and never cancelled, and a GET for it is answered 410", id))
		}
	}
	c.record("%d of %d accepted jobs are not known", len(broken), len(accepted))
	fmt.Printf("%d of %d accepted jobs are not known\n", len(broken), len(accepted))
	return broken, nil
}
