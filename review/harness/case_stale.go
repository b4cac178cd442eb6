package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

const (
	// outageTime is how long the store turns a third of the hosts away. The site file allows 9 s.
	outageTime = 9 * time.Second
	// contactTime is ContactMs, after which a host is in touch again, and cancelTime cancel_ms.
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	// steps and stepTime are the steps of the job that is cancelled. Each has one task.
	steps    = 8
	stepTime = 3 * time.Second
)

// ranked returns the hosts in the order in which they are preferred as owners of the cell.
func (c *cluster) ranked() []*host {
	var members []ownership.Member
	byName := make(map[ident.HostID]*host)
	for _, h := range c.hosts {
		id := ident.HostID(h.name)
		byName[id] = h
		members = append(members, ownership.Member{Instance: ident.Instance{Host: id}, DataCentre: "tasman", MilliCPU: 400})
	}
	var out []*host
	for _, m := range ownership.Rank(ownership.Cell{DataCentre: "tasman"}, members) {
		out = append(out, byName[m.Instance.Host])
	}
	return out
}

// playAnswerOfStaleOwner lets the store turn a third of the hosts away, the owner among them. A job that is accepted
// meanwhile, and whose cancellation is answered with 2xx or 410, must not start further tasks.
func playAnswerOfStaleOwner(c *cluster, disrupt bool) ([]string, error) {
	owner := c.owner()
	if owner == nil {
		return nil, fmt.Errorf("no host owns the cell")
	}
	turnedAway := []*host{owner}
	var other *host
	for _, h := range c.ranked() {
		switch {
		case h == owner:
		case len(turnedAway) < len(c.hosts)/3:
			turnedAway = append(turnedAway, h)
		case other == nil:
			other = h
		}
	}
	time.Sleep(4 * time.Second)
	if disrupt {
		c.awaitPhase(turnedAway)
		for _, h := range turnedAway {
			h.store.turnedAway.Store(true)
			c.record("store: turns %s away for %s", h.name, outageTime)
		}
	}
	began := time.Now()
	if disrupt && !c.awaitNewOwner(owner, 6*time.Second) {
		return nil, fmt.Errorf("no other host took the cell over")
	}
	const id = "7b00000000000001"
	if err := c.handInSteps(other, id); err != nil {
		return nil, err
	}
	status, err := c.cancel(owner, id, began.Add(30*time.Second))
	if err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(began.Add(outageTime)))
	for _, h := range turnedAway {
		h.store.turnedAway.Store(false)
	}
	inTouch := began.Add(outageTime + contactTime)
	if latest := acknowledged.Add(cancelTime); latest.After(inTouch) {
		inTouch = latest
	}
	time.Sleep(time.Until(began.Add(steps * stepTime)))
	var broken []string
	for _, s := range c.runs.startedAfter(inTouch, id) {
		broken = append(broken, fmt.Sprintf("UNASKED: the cancellation of job %s was answered with %d, and %s", id, status, s))
	}
	return broken, nil
}

// handInSteps hands in a job of several steps, one after the other, until it is accepted.
func (c *cluster) handInSteps(h *host, id string) error {
	var list []string
	for n := range steps {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"After":[%d]`, n-1)
		}
		list = append(list, fmt.Sprintf(`{"Count":1,"Cpu":100,"MemMb":64,"EstimateMs":%d%s}`, stepTime.Milliseconds(), after))
	}
	job := fmt.Sprintf(`{"Spec":"%d","Steps":[%s]}`, stepTime.Milliseconds(), strings.Join(list, ","))
	for range 20 {
		status, text := c.call(http.MethodPost, h, id, job)
		c.record("client: POST %s at %s: %d %s", id, h.name, status, text)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the job was not accepted")
}

// cancel cancels a job until the call is answered with 200 or 410.
func (c *cluster) cancel(h *host, id string, until time.Time) (int, error) {
	for time.Now().Before(until) {
		status, text := c.call(http.MethodDelete, h, id, "")
		c.record("client: DELETE %s at %s: %d %s", id, h.name, status, text)
		if status == http.StatusOK || status == http.StatusGone {
			return status, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("the cancellation was not answered")
}

// awaitPhase waits for a moment at which the owner's lease ends before those of the other hosts that are turned away.
func (c *cluster) awaitPhase(turnedAway []*host) {
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		first := turnedAway[0].store.renewedAt.Load()
		ahead := true
		for _, h := range turnedAway[1:] {
			ahead = ahead && h.store.renewedAt.Load()-first > int64(350*time.Millisecond)
		}
		if ahead {
			return
		}
	}
}

func (c *cluster) awaitNewOwner(old *host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := c.owner(); now != nil && now != old {
			c.record("store: %s owns the cell", now.name)
			return true
		}
	}
	return false
}
