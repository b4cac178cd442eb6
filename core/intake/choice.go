package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A request is nearly complete if less than an eighth of its declared length is missing, and if something has arrived
	// within progressTime: a client that stops short of the end does not count as nearly complete.
	missingDivisor = 8
	progressTime   = time.Second
	// One address may hold half of the memory in use before its requests are given up before those of others.
	addressDivisor = 2
)

// candidate is an unfinished request at one time.
type candidate struct {
	request        *Request
	address        string
	held, expected int64
	// begun is when the first byte arrived, last when the last one did. bodyBegun is zero until the head is complete.
	begun, last, bodyBegun time.Time
}

func (c candidate) nearlyComplete(now time.Time) bool {
	return c.expected > 0 && c.expected-c.held < c.expected/missingDivisor && now.Sub(c.last) < progressTime
}

// cost grows with the size of a request, with its age and with the time since something arrived.
func (c candidate) cost(now time.Time) float64 {
	return float64(c.held) * (now.Sub(c.begun) + now.Sub(c.last) + time.Millisecond).Seconds()
}

// order returns the requests in the order in which they are given up while used bytes are in use: those of an address that
// holds too much first, the nearly complete ones last, and else the slowest and largest first.
func order(all []candidate, now time.Time, used int64) []candidate {
	byAddress := make(map[string]int64)
	for _, c := range all {
		byAddress[c.address] += c.held
	}
	tooMuch := func(c candidate) bool { return byAddress[c.address] > used/addressDivisor }
	slices.SortFunc(all, func(a, b candidate) int {
		if x, y := tooMuch(a), tooMuch(b); x != y {
			return firstIf(x)
		}
		if x, y := a.nearlyComplete(now), b.nearlyComplete(now); x != y {
			return firstIf(y)
		}
		return cmp.Compare(b.cost(now), a.cost(now))
	})
	return all
}

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// tooSlow reports whether a body has arrived below the minimum rate since the end of the grace period, or nothing of it for
// as long as that period. Bytes of the head count in favour of the client.
func tooSlow(c candidate, now time.Time, config Config) bool {
	if c.bodyBegun.IsZero() {
		return false
	}
	if now.Sub(c.last) > config.Grace {
		return true
	}
	late := now.Sub(c.bodyBegun) - config.Grace
	return late > 0 && float64(c.held) < late.Seconds()*float64(config.MinRate)
}
