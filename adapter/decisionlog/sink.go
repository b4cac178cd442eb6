// Package decisionlog writes the decisions of a host as JSON lines. Its volume is bounded by kind of event, and a reader
// that is slow or blocked never holds up a decision.
package decisionlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queuedLines bounds the lines that wait for a slow reader; at 300 bytes each they take about 1 MB.
	queuedLines = 4096
	// bufferBytes is what a pipe takes in one piece, so that lines of two processes do not mix.
	bufferBytes = 4 << 10
)

// Sink is an io.Writer that never blocks: lines go through a bounded queue, and are dropped and counted when it is full.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// once guards the end of lines.
	once sync.Once
}

// NewSink returns a sink that writes to out in a goroutine of its own until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

// Write queues a line. It always reports success, because a logger can do nothing about a lost line.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes what is queued and ends the sink. Nothing may be written after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}

// run writes lines that wait together in one call.
func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	w := bufio.NewWriterSize(out, bufferBytes)
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

// write puts a whole line into the buffer.
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
