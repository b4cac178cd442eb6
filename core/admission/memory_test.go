package admission

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory per class of the admission state of one cell, table rows included. Run it with
// go test -run '^$' -bench Memory -benchtime 1x ./core/admission.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1100, 2000} {
		b.Run(fmt.Sprintf("classes=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				rows := make([]table.Row, n)
				for i := range rows {
					rows[i] = row(fmt.Sprintf("class-%04d", i), func(r *table.Row) { r.Rate, r.Concurrency = 100, 100 })
				}
				c := newController(128, 128, rows...)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/class")
				runtime.KeepAlive(c)
			}
		})
	}
}
