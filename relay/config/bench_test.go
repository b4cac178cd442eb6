package config_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// BenchmarkInForceEverywhere measures the time from the call of Commit until the revision is in force on every host,
// with 1,100 rows, two watchers in each data centre and in-process calls between the hosts: go test -run '^$' -bench
// InForceEverywhere -benchtime 50x ./relay/config.
func BenchmarkInForceEverywhere(b *testing.B) {
	for _, size := range []struct{ hosts, dataCentres int }{{9, 3}, {133, 7}} {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			f := newFleet(b, kv.Config{})
			var hosts []*config.Service
			for i := range size.hosts {
				s := f.host(fmt.Sprintf("h%03d", i), 1, nil)
				s.SetWatcher(i < 2*size.dataCentres)
				hosts = append(hosts, s)
			}
			weights := make([]int, 1100)
			for i := range weights {
				weights[i] = 1
			}
			commit(b, hosts[0], change(0, 0, weights...))
			stop := run(hosts...)
			defer stop()
			for _, s := range hosts {
				awaitInForce(b, s, 1)
			}
			measureCommits(b, hosts, weights)
		})
	}
}

func measureCommits(b *testing.B, hosts []*config.Service, weights []int) {
	var times []time.Duration
	n := 0
	for b.Loop() {
		n++
		weights[n%len(weights)] = 1 + n%10_000
		c := change(table.Revision(n), n, weights...)
		start := time.Now()
		commit(b, hosts[len(hosts)-1], c)
		var waiting sync.WaitGroup
		for _, s := range hosts {
			waiting.Go(func() { awaitInForce(b, s, c.Base+1) })
		}
		waiting.Wait()
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-max")
}

func awaitInForce(b *testing.B, s *config.Service, want table.Revision) {
	ctx, cancel := context.WithTimeout(bg, time.Minute)
	defer cancel()
	for seen := s.InForce(); seen == nil || seen.Revision() < want; {
		next, err := s.Await(ctx, seen)
		require.NoError(b, err)
		seen = next
	}
}
