package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// BenchmarkLongestWaiting measures one call while 24 fillers wait because every worker runs a serving task near its
// target.
func BenchmarkLongestWaiting(b *testing.B) {
	for _, workers := range []int{48, 350, 1400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := placement.NewCell(1, placement.Options{})
			var near []placement.Observation
			for i := range workers {
				c.UpsertWorker(placement.Worker{ID: ident.WorkerID(fmt.Sprint("w", i)), Rack: "r", Capacity: vec(64_000, 64_000, 0)})
			}
			for i := range workers {
				p := servingTask(i)
				p.Need = vec(40_000, 1000, 0)
				c.Submit([]placement.Pending{p})
				near = append(near, placement.Observation{Task: p.Task, TailRatio: 0.99, At: epoch})
			}
			for c.Plan(epoch, workers).More {
			}
			c.Observe(near)
			for i := range 24 {
				c.Submit([]placement.Pending{fillerTask(10+i, "filler")})
			}
			now, explained, calls := epoch, 0, 0
			for b.Loop() {
				now = now.Add(30 * time.Second)
				explained += len(c.LongestWaiting(now, 3*time.Second, 24))
				calls++
			}
			b.ReportMetric(float64(explained)/float64(calls), "explained/op")
		})
	}
}
