// Package decisionlog writes the decisions of a host as JSON lines. The rate of lines is limited per event name, and a
// slow or blocked reader never delays a decision.
package decisionlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader. At 300 bytes each they take about 1 MB.
	maxQueuedLines = 4096
	// writeBufferBytes is the size up to which a write to a pipe is atomic, so that lines of two processes do not mix.
	writeBufferBytes = 4 << 10
)

// Sink is an io.Writer that never blocks. Lines go through a bounded queue; when it is full they are dropped and
// counted.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// closeOnce closes lines.
	closeOnce sync.Once
}

// NewSink returns a sink that writes to out in its own goroutine until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write queues a line. It always reports success, because a logger cannot handle the loss of a line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines could not be queued so far, plus the number of failed writes.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes the queued lines and stops the goroutine. Write must not be called after Close.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.lines) })
	<-s.done
}

// run writes the queued lines until lines is closed. Lines that are queued at the same time share one write.
func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	w := bufio.NewWriterSize(out, writeBufferBytes)
	for line := range s.lines {
		s.write(w, out, line)
		for more := true; more; {
			select {
			case line, ok := <-s.lines:
				if more = ok; ok {
					s.write(w, out, line)
				}
			default:
				more = false
			}
		}
		s.flush(w, out)
	}
}

// write adds a line to the buffer, which it flushes first if the line does not fit.
func (s *Sink) write(w *bufio.Writer, out io.Writer, line []byte) {
	if len(line) > w.Available() {
		s.flush(w, out)
	}
	if _, err := w.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Sink) flush(w *bufio.Writer, out io.Writer) {
	if w.Flush() != nil {
		s.dropped.Add(1)
		w.Reset(out)
	}
}
