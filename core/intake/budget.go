// Package intake decides how much memory the requests that clients have not finished sending may hold, and which of them
// are given up when it is used up or when they arrive too slowly. Bytes count as they arrive, whatever length a client
// declares.
package intake

import (
	"sync"
	"sync/atomic"
	"time"
)

// Cause says why a request was given up.
type Cause string

// The causes.
const (
	// CauseMemory means that the memory for unfinished requests was used up.
	CauseMemory Cause = "memory"
	// CauseSlow means that the body arrived below the minimum rate.
	CauseSlow Cause = "slow"
	// CauseConnections means that all connections of a port were in use.
	CauseConnections Cause = "connections"
)

const (
	numShards = 16
	// The budget frees an eighth of its limit at a time, so that it does not look at all requests for each piece that
	// arrives while it is used up.
	freeDivisor = 8
	// A request that was given up holds its memory until its handler has returned. While such memory and that in use exceed
	// the limit by half, a request that holds largeBytes or more is given up as soon as more of it arrives.
	largeBytes    = 64 << 10
	excessDivisor = 2
)

// Config bounds unfinished requests.
type Config struct {
	// Bytes is the memory that all requests together may hold.
	Bytes int64
	// MinRate is the rate, in bytes a second, that a body must reach on average after Grace. 0 means no bound.
	MinRate int64
	Grace   time.Duration
}

// Budget counts the memory of requests. Its state is held in shards, each with its own lock; a connection belongs to one.
type Budget struct {
	config Config
	used   atomic.Int64
	// leaving counts the bytes of large requests that were given up and have not returned their memory.
	leaving atomic.Int64
	next    atomic.Uint32
	shards  [numShards]shard
	// choosing serializes the choices of requests to give up. A request that arrives while the budget is used up waits for
	// the choice in progress, so that it cannot receive more meanwhile. Locks of shards are taken while it is held, one at a
	// time, and never the other way round.
	choosing sync.Mutex
}

type shard struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
}

// New returns an empty budget.
func New(c Config) *Budget {
	b := &Budget{config: c}
	for i := range b.shards {
		b.shards[i].requests = make(map[*Request]struct{})
	}
	return b
}

// Limit returns the memory that all requests together may hold.
func (b *Budget) Limit() int64 { return b.config.Bytes }

// Used returns the bytes that requests hold now.
func (b *Budget) Used() int64 { return b.used.Load() }

// Request is the request that a connection is sending. It is used again for the next one on the same connection.
type Request struct {
	budget  *Budget
	shard   *shard
	address string
	spared  int64
	// giveUp ends the request. It must not block or call the budget.
	giveUp func(Cause)

	// The fields below are guarded by the lock of the shard.
	held, expected, leaving int64
	begun, last             time.Time
	bodyBegun               time.Time
	complete                bool
	refused                 Cause
}

// Open registers a connection of a client at address. Its requests are not given up for memory while they hold less than
// spared bytes: that would free little. All connections together may exceed the budget by this much each. giveUp is called
// at most once for each request.
func (b *Budget) Open(address string, spared int64, giveUp func(Cause)) *Request {
	s := &b.shards[b.next.Add(1)%numShards]
	r := &Request{budget: b, shard: s, address: address, spared: spared, giveUp: giveUp}
	s.mu.Lock()
	s.requests[r] = struct{}{}
	s.mu.Unlock()
	return r
}

// Receive counts n bytes of the request that have arrived, and gives requests up while the budget is used up. It returns
// false if the request itself has been given up.
func (r *Request) Receive(now time.Time, n int) bool {
	r.shard.mu.Lock()
	if r.refused == "" {
		if r.held == 0 {
			r.begun = now
		}
		r.last = now
		r.held += int64(n)
		r.budget.used.Add(int64(n))
	}
	refused := r.refused != ""
	r.shard.mu.Unlock()
	if refused {
		return false
	}
	b := r.budget
	if b.used.Load() > b.config.Bytes {
		b.free(now)
		return r.Refused() == ""
	}
	if b.used.Load()+b.leaving.Load() > b.config.Bytes+b.config.Bytes/excessDivisor && r.refuseLarge() {
		r.giveUp(CauseMemory)
		return false
	}
	return true
}

// refuseLarge marks the request as given up if it is large and not complete.
func (r *Request) refuseLarge() bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.held < largeBytes || r.complete || r.refused != "" {
		return false
	}
	r.markRefused(CauseMemory)
	return true
}

// markRefused requires the lock of the shard.
func (r *Request) markRefused(cause Cause) {
	r.refused = cause
	r.budget.used.Add(-r.held)
	if r.held >= largeBytes {
		r.leaving = r.held
		r.budget.leaving.Add(r.held)
	}
	r.held = 0
}

// BeginBody states that the head is complete. expected is the declared length of the body; less than 0 if it is not known.
func (r *Request) BeginBody(now time.Time, expected int64) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.bodyBegun, r.expected, r.complete = now, expected, expected == 0
}

// Complete states that the whole request has arrived. It holds its memory until Finish and is not given up any more.
func (r *Request) Complete() {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.complete = true
}

// GiveUp gives the request up unless it has arrived whole.
func (r *Request) GiveUp(cause Cause) {
	if r.markUnlessComplete(cause) {
		r.giveUp(cause)
	}
}

func (r *Request) markUnlessComplete(cause Cause) bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.complete || r.refused != "" {
		return false
	}
	r.markRefused(cause)
	return true
}

// Refused returns why the request was given up; empty if it was not.
func (r *Request) Refused() Cause {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return r.refused
}

// Finish states that the request holds no memory any more. The next bytes belong to another request, unless this one was
// given up, which ends its connection.
func (r *Request) Finish() {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.release()
}

// release requires the lock of the shard.
func (r *Request) release() {
	r.budget.used.Add(-r.held)
	r.budget.leaving.Add(-r.leaving)
	r.leaving = 0
	r.held, r.expected, r.complete, r.bodyBegun = 0, 0, false, time.Time{}
}

// Release states that n bytes of the request are not held any more.
func (r *Request) Release(n int64) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	n = min(n, r.held)
	r.held -= n
	r.budget.used.Add(-n)
}

// Close forgets the connection.
func (r *Request) Close() {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.release()
	delete(r.shard.requests, r)
}

// Reserve counts n bytes of a message that has arrived whole. Requests are given up for it. It returns false if that is
// not enough; otherwise release must be called once the message is not needed any more.
func (b *Budget) Reserve(now time.Time, n int64) (release func(), ok bool) {
	if b.used.Add(n) > b.config.Bytes {
		b.free(now)
		if b.used.Load() > b.config.Bytes {
			b.used.Add(-n)
			return nil, false
		}
	}
	return func() { b.used.Add(-n) }, true
}

// GiveUpSlow gives up the requests whose bodies arrive below the minimum rate.
func (b *Budget) GiveUpSlow(now time.Time) {
	if b.config.MinRate <= 0 {
		return
	}
	for _, c := range b.candidates() {
		if tooSlow(c, now, b.config) {
			if c.request.refuse(c, CauseSlow) {
				c.request.giveUp(CauseSlow)
			}
		}
	}
}

// free gives requests up until the budget has some room again.
func (b *Budget) free(now time.Time) {
	for _, r := range b.choose(now) {
		r.giveUp(CauseMemory)
	}
}

// choose marks requests as refused until the budget has some room again, and returns them.
func (b *Budget) choose(now time.Time) []*Request {
	b.choosing.Lock()
	defer b.choosing.Unlock()
	target := b.config.Bytes - b.config.Bytes/freeDivisor
	if b.used.Load() <= b.config.Bytes {
		return nil
	}
	var out []*Request
	for _, c := range order(b.candidates(), now, b.used.Load()) {
		if b.used.Load() <= target {
			break
		}
		if c.held < c.request.spared {
			continue
		}
		if c.request.refuse(c, CauseMemory) {
			out = append(out, c.request)
		}
	}
	return out
}

// refuse marks the request as given up unless it has completed since it became a candidate. Its bytes no longer count.
func (r *Request) refuse(c candidate, cause Cause) bool {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.complete || r.refused != "" || r.held < c.held || !r.begun.Equal(c.begun) {
		return false
	}
	r.markRefused(cause)
	return true
}

// candidates returns the requests that have not arrived whole.
func (b *Budget) candidates() []candidate {
	var out []candidate
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for r := range s.requests {
			if r.held > 0 && !r.complete && r.refused == "" {
				out = append(out, candidate{
					request: r, address: r.address, held: r.held, expected: r.expected, begun: r.begun, last: r.last, bodyBegun: r.bodyBegun,
				})
			}
		}
		s.mu.Unlock()
	}
	return out
}
