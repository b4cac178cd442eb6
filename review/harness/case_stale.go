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
	// minPhase and maxPhase bound how much later than the owner the others have renewed their leases. A host without a lease
	// counts as stopped after 0.22 s.
	minPhase = 300 * time.Millisecond
	maxPhase = 650 * time.Millisecond
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
		if err := c.awaitPhase(turnedAway); err != nil {
			return nil, err
		}
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
	status, answered := c.cancel(owner, id, began.Add(outageTime))
	if !answered {
		// Nobody has told the client that the job is cancelled or does not exist.
		return nil, nil
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
func (c *cluster) cancel(h *host, id string, until time.Time) (status int, answered bool) {
	for time.Now().Before(until) {
		status, text := c.call(http.MethodDelete, h, id, "")
		c.record("client: DELETE %s at %s: %d %s", id, h.name, status, text)
		if status == http.StatusOK || status == http.StatusGone {
			return status, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// awaitPhase waits for a moment at which the owner's lease ends before those of the other hosts that are turned away. The
// phases of the renewals hardly change, so that a host in the wrong phase is restarted, as in a planned roll.
func (c *cluster) awaitPhase(turnedAway []*host) error {
	lag := func(h *host) time.Duration {
		return time.Duration(h.store.renewedAt.Load() - turnedAway[0].store.renewedAt.Load())
	}
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); {
		seen := make(map[*host]bool)
		for spell := time.Now().Add(1500 * time.Millisecond); time.Now().Before(spell); time.Sleep(2 * time.Millisecond) {
			all := true
			for _, h := range turnedAway[1:] {
				ahead := lag(h) > minPhase && lag(h) < maxPhase
				seen[h] = seen[h] || ahead
				all = all && ahead
			}
			if all {
				return nil
			}
		}
		for _, h := range turnedAway[1:] {
			if seen[h] {
				continue
			}
			if err := h.restart(); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
		}
	}
	return fmt.Errorf("the renewals of the hosts have no such phase")
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
