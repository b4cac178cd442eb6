package lifecycle

import (
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// BenchmarkCopyCandidates measures one check with 1,000 running tasks of speculative groups, none of which is overdue.
func BenchmarkCopyCandidates(b *testing.B) {
	f := newFixture(&testing.T{}, 7, "w1", "w2", "w3")
	f.learn()
	for range 100 {
		job := f.submitSpeculative(10)
		for i := range 10 {
			f.startTask(ident.TaskID{Job: job, Index: uint32(i)}, "w1")
		}
	}
	b.ResetTimer()
	for b.Loop() {
		f.c.CopyCandidates(f.now)
	}
}
