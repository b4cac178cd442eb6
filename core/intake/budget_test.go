package intake

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// givenUp records the requests that a budget gave up, by name.
type givenUp struct {
	mu    sync.Mutex
	names []string
}

func (g *givenUp) open(b *Budget, name, address string) *Request {
	return b.Open(address, 0, func(c Cause) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.names = append(g.names, name+" "+string(c))
	})
}

// Guards against a budget that counts declared instead of received bytes, or that forgets to release them.
func TestReceivedBytesCount(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1000})
	r := g.open(b, "a", "1")
	require.True(t, r.Receive(start, 100))
	r.BeginBody(start, 1<<20)
	require.EqualValues(t, 100, b.Used())
	require.True(t, r.Receive(start, 900))
	r.Release(300)
	require.EqualValues(t, 700, b.Used())
	r.Finish()
	require.Zero(t, b.Used())
	require.True(t, r.Receive(start, 1000), "the next request on the connection")
	r.Close()
	require.Zero(t, b.Used())
	require.Empty(t, g.names)
}

// Guards against a full budget that gives up small requests before large ones, or ones that stopped arriving after those
// that are nearly complete and still arrive.
func TestLargestAndSlowestGoFirst(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1000})
	now := after(3 * time.Second)
	small := g.open(b, "small", "1")
	stalled := g.open(b, "stalled short of its end", "2")
	arriving := g.open(b, "nearly complete", "3")
	large := g.open(b, "large", "4")
	require.True(t, small.Receive(now, 10))
	for _, r := range []*Request{stalled, arriving} {
		require.True(t, r.Receive(start, 1))
		r.BeginBody(start, 330)
	}
	require.True(t, stalled.Receive(after(time.Second), 328))
	require.True(t, arriving.Receive(now, 300))
	require.True(t, large.Receive(after(time.Second), 350))
	require.Empty(t, g.names)
	require.True(t, small.Receive(now, 20))
	require.Equal(t, []string{"stalled short of its end memory"}, g.names, "it has held nearly as much for longer")
	require.False(t, stalled.Receive(now, 1))
	require.True(t, small.Receive(now, 250))
	require.True(t, small.Receive(now, 70))
	require.Equal(t, []string{"stalled short of its end memory", "large memory"}, g.names)
	require.EqualValues(t, 350+301, b.Used())
}

// Guards against one address that takes the memory of all others.
func TestOneAddressDoesNotTakeAll(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1000})
	other := g.open(b, "other", "other")
	require.True(t, other.Receive(start, 200))
	for i := range 30 {
		g.open(b, fmt.Sprint(i), "greedy").Receive(after(time.Second), 50)
	}
	require.NotEmpty(t, g.names)
	require.NotContains(t, g.names, "other memory", "it is the largest and oldest, but its address holds little")
}

// Guards against small requests that are given up although that frees little.
func TestSmallRequestsAreSpared(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1000})
	release, ok := b.Reserve(start, 1000)
	require.True(t, ok)
	r := b.Open("1", 100, func(c Cause) { g.names = append(g.names, string(c)) })
	require.True(t, r.Receive(start, 99))
	require.Empty(t, g.names)
	require.False(t, r.Receive(start, 1))
	require.Equal(t, []string{"memory"}, g.names)
	release()
}

// Guards against a request that was received whole, and may be running, and is given up.
func TestCompleteRequestIsKept(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1000})
	whole := g.open(b, "whole", "1")
	require.True(t, whole.Receive(start, 900))
	whole.Complete()
	late := g.open(b, "late", "2")
	require.False(t, late.Receive(after(time.Hour), 200), "nothing else can make room")
	require.Equal(t, []string{"late memory"}, g.names)
	_, ok := b.Reserve(start, 200)
	require.False(t, ok)
	release, ok := b.Reserve(start, 100)
	require.True(t, ok)
	release()
	whole.Finish()
	_, ok = b.Reserve(start, 1000)
	require.True(t, ok)
}

// Guards against memory that is counted as free while the handlers of large requests that were given up still hold it.
func TestMemoryOfGivenUpRequestsCountsUntilTheyFinish(t *testing.T) {
	var g givenUp
	b := New(Config{Bytes: 1 << 20})
	first := g.open(b, "first", "1")
	require.False(t, first.Receive(start, 2<<20), "larger than the budget")
	second, small := g.open(b, "second", "2"), g.open(b, "small", "3")
	require.False(t, second.Receive(start, largeBytes))
	require.True(t, small.Receive(start, largeBytes-1))
	first.Finish()
	second.Finish()
	third := g.open(b, "third", "4")
	require.True(t, third.Receive(start, largeBytes))
	require.Equal(t, []string{"first memory", "second memory"}, g.names)
}

// Guards against bodies that stay open while little or nothing of them arrives, and against a rate that is checked before
// the grace period has passed or while a head or a handler is in progress.
func TestSlowBodies(t *testing.T) {
	var g givenUp
	c := Config{Bytes: 1 << 20, MinRate: 1000, Grace: 5 * time.Second}
	b := New(c)
	requests := make(map[string]*Request)
	for _, name := range []string{"fast", "slow", "stalled", "whole", "head"} {
		requests[name] = g.open(b, name, name)
		require.True(t, requests[name].Receive(start, 100))
		if name != "head" {
			requests[name].BeginBody(start, 1<<20)
		}
	}
	requests["whole"].Complete()
	requests["stalled"].Receive(start, 100_000)
	b.GiveUpSlow(after(5 * time.Second))
	require.Empty(t, g.names)
	requests["slow"].Receive(after(6*time.Second), 1000)
	requests["fast"].Receive(after(6*time.Second), 4000)
	b.GiveUpSlow(after(8 * time.Second))
	slices.Sort(g.names)
	require.Equal(t, []string{"slow slow", "stalled slow"}, g.names)
}

// Guards against counts that drift when many connections receive, finish and are given up at the same time.
func TestConcurrentRequests(t *testing.T) {
	b := New(Config{Bytes: 1 << 20})
	var group sync.WaitGroup
	for i := range 64 {
		group.Go(func() {
			for j := range 200 {
				r := b.Open(fmt.Sprint(i%8), 0, func(Cause) {})
				for k := range 20 {
					if !r.Receive(after(time.Duration(j*20+k)*time.Millisecond), 4096) {
						break
					}
				}
				if j%3 == 0 {
					r.Complete()
				}
				if j%2 == 0 {
					r.Finish()
				}
				r.Close()
			}
		})
	}
	group.Wait()
	require.Zero(t, b.Used())
	require.Zero(t, b.leaving.Load())
}

// Measures what the accounting adds to an ordinary small request.
func BenchmarkSmallRequest(b *testing.B) {
	budget := New(Config{Bytes: 1 << 20})
	b.RunParallel(func(pb *testing.PB) {
		r := budget.Open("1", 0, func(Cause) {})
		for pb.Next() {
			r.Receive(start, 600)
			r.BeginBody(start, 300)
			r.Complete()
			r.Finish()
			r.Finish()
		}
	})
}
