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
	a := good(t, r)
	a.Observation.Latency = d
	return a, false
}

// arrivals calls f at random times, so that offered times the capacity of all slots arrives.
func arrivals(seed uint64, offered float64, mean time.Duration, f func(n int)) {
	rng := rand.New(rand.NewPCG(seed, seed))
	gap := float64(mean) / (offered * floodSlots)
	for n, at, end := 0, time.Now(), time.Now().Add(floodLength); at.Before(end); n++ {
		at = at.Add(time.Duration(rng.ExpFloat64() * gap))
		time.Sleep(time.Until(at))
		go f(n)
	}
}

// floodRun returns the latencies of urgent requests, sorted, and the slot time that batch got as a part of all.
func floodRun(t *testing.T, batchOffered float64) (urgentTimes []time.Duration, failed int, batchPart float64) {
	synctest.Test(t, func(t *testing.T) {
		targets := &timedTargets{rng: rand.New(rand.NewPCG(7, 7)), mean: map[ident.ClassName]time.Duration{
			"urgent": 5 * time.Millisecond, "batch": 20 * time.Millisecond,
		}}
		s := newService(newFake(good), floodTargets, func(o *Options) { o.Sender = targets })
		var mu sync.Mutex
		batchDone, end := 0, time.Now().Add(floodLength)
		var classes sync.WaitGroup
		classes.Go(func() {
			arrivals(1, 0.3, targets.mean["urgent"], func(n int) {
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
				arrivals(2, batchOffered, targets.mean["batch"], func(int) {
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
		batchPart = float64(batchDone) * targets.mean["batch"].Seconds() / (floodLength.Seconds() * floodSlots)
	})
	slices.Sort(urgentTimes)
	return urgentTimes, failed, batchPart
}

// Guards against a flood of batch requests at 20 times the capacity delaying urgent requests: their p99 must stay within
// 1.5 times that of a quiet system, and none may fail.
func TestBatchFloodLeavesUrgentLatency(t *testing.T) {
	p99 := func(d []time.Duration) time.Duration { return d[len(d)*99/100] }
	quiet, _, _ := floodRun(t, 0)
	flood, failed, batchPart := floodRun(t, 20)
	t.Logf("urgent p99: quiet %v, in the flood %v (%.2f times), %d of %d failed; batch got %.2f of the slot time",
		p99(quiet), p99(flood), float64(p99(flood))/float64(p99(quiet)), failed, len(flood), batchPart)
	require.Zero(t, failed)
	require.LessOrEqual(t, float64(p99(flood)), 1.5*float64(p99(quiet)))
	require.Greater(t, batchPart, 0.5, "batch fills what urgent leaves")
}

// instant is a Sender whose targets take no time, so that a benchmark measures the relay alone.
type instant struct{}

func (instant) Send(
	_ context.Context, t routing.Target, r request.Request, _ func(routing.AttemptResult),
) (routing.AttemptResult, bool) {
	a := good(t, r)
	a.Observation.Latency = time.Millisecond
	return a, false
}

// BenchmarkExecute measures requests of many callers in one cell, which share its lock.
func BenchmarkExecute(b *testing.B) {
	s := newService(newFake(good), 50, func(o *Options) { o.Sender = instant{} })
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

// BenchmarkRefusal measures requests that the cell refuses at once, which is what most of a flood costs.
func BenchmarkRefusal(b *testing.B) {
	s := newService(newFake(good), 1, nil)
	r := request.Request{ID: "1", Class: "urgent", Deadline: time.Now().Add(-time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Execute(context.Background(), 0, r); err == nil {
			b.Fatal("a request past its deadline ran")
		}
	}
}
