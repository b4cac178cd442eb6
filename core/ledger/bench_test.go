package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/request"
)

// BenchmarkBeginFinish measures Issue, Begin and Finish of one request under a new key, on all processors.
func BenchmarkBeginFinish(b *testing.B) {
	l := New(issuer, Limits{Records: 1 << 40, Bytes: 1 << 50})
	answer := request.Answer{Status: 200}
	var next atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var random [16]byte
		for pb.Next() {
			binary.LittleEndian.PutUint64(random[:], next.Add(1))
			key, _ := l.Issue(start, random)
			l.Begin(start, key, 1)
			l.Finish(key, answer, nil)
		}
	})
}

// BenchmarkMemory reports the memory per record, with an answer of 200 bytes, for ledgers of three sizes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := New(issuer, Limits{Records: 1 << 40, Bytes: 1 << 50})
				for i := range n {
					var random [16]byte
					binary.LittleEndian.PutUint64(random[:], uint64(i))
					key, _ := l.Issue(start, random)
					l.Begin(start, key, 1)
					l.Finish(key, request.Answer{Status: 200, Body: make([]byte, 200)}, nil)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
				runtime.KeepAlive(l)
			}
		})
	}
}
