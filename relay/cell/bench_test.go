package cell_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/request"
)

// BenchmarkAddedLatency compares requests through the service with the same requests sent by net/http alone, against
// the same targets with half of their slots in use. It reports quantiles in microseconds.
func BenchmarkAddedLatency(b *testing.B) {
	const half = targetCount * 4
	targets, list := startTargets(b, time.Millisecond)
	s := startService(b, list)
	plain := &http.Transport{MaxIdleConnsPerHost: half}
	direct := func(caller int) error {
		r, err := http.NewRequest(http.MethodPost, "http://"+list[caller%targetCount].Address+"/", http.NoBody)
		if err != nil {
			return err
		}
		response, err := plain.RoundTrip(r)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	through := func(int) error {
		_, err := s.Execute(context.Background(), 0, request.Request{ID: "1", Class: "urgent", Method: "POST", Path: "/"})
		return err
	}
	times := map[string][]time.Duration{}
	for b.Loop() {
		for name, call := range map[string]func(int) error{"direct": direct, "through": through} {
			var mu sync.Mutex
			var all sync.WaitGroup
			for caller := range half {
				all.Go(func() {
					for range 20 {
						begin := time.Now()
						if err := call(caller); err != nil {
							b.Error(err)
							return
						}
						took := time.Since(begin)
						mu.Lock()
						times[name] = append(times[name], took)
						mu.Unlock()
					}
				})
			}
			all.Wait()
		}
	}
	for name, list := range times {
		slices.Sort(list)
		for _, q := range []int{50, 99} {
			b.ReportMetric(float64(list[len(list)*q/100].Microseconds()), fmt.Sprintf("%s-p%d-us", name, q))
		}
	}
	for _, target := range targets {
		require.LessOrEqual(b, target.Stats().PeakInProgress, 8)
	}
}
