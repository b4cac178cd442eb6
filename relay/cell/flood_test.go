package cell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	floodTargets = 6
	floodSlots   = floodTargets * routing.SlotsPerTarget
	floodLength  = 2 * time.Second
)

// timedTargets is a Sender that holds each request for an exponentially distributed time with the mean of its class.
type timedTargets struct {
	mu   sync.Mutex
	rng  *rand.Rand
	mean map[ident.ClassName]time.Duration
}

func (f *timedTargets) Send(
	_ context.Context, t routing.Target, r request.Request, _ func(routing.AttemptResult),
) (routing.AttemptResult, bool) {
	f.mu.Lock()
	d := time.Duration(f.rng.ExpFloat64() * float64(f.mean[r.Class]))
	f.mu.Unlock()
	time.Sleep(d)
	a := succeed(t, r)
	a.Observation.Latency = d
	return a, false
}

// sendAtRate calls f at random times. offered is the offered load as a multiple of the capacity of all slots.
func sendAtRate(seed uint64, offered float64, mean time.Duration, f func(n int)) {
	rng := rand.New(rand.NewPCG(seed, seed))
	gap := float64(mean) / (offered * floodSlots)
	for n, at, end := 0, time.Now(), time.Now().Add(floodLength); at.Before(end); n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() * gap))
		time.Sleep(time.Until(at))
		go f(n)
	}
}

// runFlood returns the sorted latencies of urgent requests, the number of failed ones, and the share of slot time
// that batch requests got.
func runFlood(t *testing.T, batchOffered float64) (urgentTimes []time.Duration, failed int, batchShare float64) {
	synctest.Test(t, func(t *testing.T) {
		targets := &timedTargets{rng: rand.New(rand.NewPCG(7, 7)), mean: map[ident.ClassName]time.Duration{
			"urgent": 5 * time.Millisecond, "batch": 20 * time.Millisecond,
		}}
		s := newService(newFakeTargets(succeed), floodTargets, func(o *Options) { o.Sender = targets })
		var mu sync.Mutex
		batchDone, end := 0, time.Now().Add(floodLength)
		var classes sync.WaitGroup
		classes.Go(func() {
			sendAtRate(1, 0.3, targets.mean["urgent"], func(n int) {
				begin := time.Now()
				_, err := s.Execute(context.Background(), 0, urgent(fmt.Sprint(n)))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					return
				}
				urgentTimes = append(urgentTimes, time.Since(begin))
			})
		})
		if batchOffered > 0 {
			classes.Go(func() {
				sendAtRate(2, batchOffered, targets.mean["batch"], func(int) {
					r := urgent("b")
					r.Class = "batch"
					_, err := s.Execute(context.Background(), 0, r)
					if err != nil {
						require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
						return
					}
					mu.Lock()
					defer mu.Unlock()
					if time.Now().Before(end) {
						batchDone++
					}
				})
			})
		}
		classes.Wait()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		batchShare = float64(batchDone) * targets.mean["batch"].Seconds() / (floodLength.Seconds() * floodSlots)
	})
	slices.Sort(urgentTimes)
	return urgentTimes, failed, batchShare
}

// Guards against a flood of batch requests at 20 times the capacity that delays urgent requests: the p99 of urgent
// requests must stay within 1.5 times that of an idle system, and none may fail.
func TestBatchFloodLeavesUrgentLatency(t *testing.T) {
	p99 := func(d []time.Duration) time.Duration { return d[len(d)*99/100] }
	quiet, _, _ := runFlood(t, 0)
	flood, failed, batchShare := runFlood(t, 20)
	t.Logf("urgent p99: quiet %v, in the flood %v (%.2f times), %d of %d failed; batch got %.2f of the slot time",
		p99(quiet), p99(flood), float64(p99(flood))/float64(p99(quiet)), failed, len(flood), batchShare)
	require.Zero(t, failed)
	require.LessOrEqual(t, float64(p99(flood)), 1.5*float64(p99(quiet)))
	require.Greater(t, batchShare, 0.5, "batch fills what urgent leaves")
}

// instantTargets is a Sender whose targets answer at once, so that a benchmark measures the relay alone.
type instantTargets struct{}

func (instantTargets) Send(
	_ context.Context, t routing.Target, r request.Request, _ func(routing.AttemptResult),
) (routing.AttemptResult, bool) {
	a := succeed(t, r)
	a.Observation.Latency = time.Millisecond
	return a, false
}

// BenchmarkExecute measures concurrent requests in one cell, which share its lock.
func BenchmarkExecute(b *testing.B) {
	s := newService(newFakeTargets(succeed), 50, func(o *Options) { o.Sender = instantTargets{} })
	r := request.Request{ID: "1", Class: "urgent"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := s.Execute(context.Background(), 0, r); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkRefusal measures requests that the cell refuses at once, as it does with most requests of a flood.
func BenchmarkRefusal(b *testing.B) {
	s := newService(newFakeTargets(succeed), 1, nil)
	r := request.Request{ID: "1", Class: "urgent", Deadline: time.Now().Add(-time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Execute(context.Background(), 0, r); err == nil {
			b.Fatal("a request past its deadline ran")
		}
	}
}
