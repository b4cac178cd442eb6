// Package bodyread receives the body of a request into memory. It allocates as the bytes arrive and, unlike io.ReadAll,
// copies nothing when the body is broken off.
package bodyread

import (
	"errors"
	"io"
)

const (
	firstSegmentBytes = 1 << 10
	maxSegmentBytes   = 64 << 10
)

// Body is a body that was received whole.
type Body struct {
	segments [][]byte
	size     int
}

// Receive reads r to its end.
func Receive(r io.Reader) (*Body, error) {
	b := &Body{}
	segment := make([]byte, 0, firstSegmentBytes)
	for {
		n, err := r.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
		b.size += n
		if errors.Is(err, io.EOF) {
			b.segments = append(b.segments, segment)
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if len(segment) == cap(segment) {
			b.segments = append(b.segments, segment)
			segment = make([]byte, 0, min(2*cap(segment), maxSegmentBytes))
		}
	}
}

// Bytes returns the body in one piece and leaves b empty. Each segment is released once it is copied.
func (b *Body) Bytes() []byte {
	if len(b.segments) == 1 {
		out := b.segments[0]
		b.segments = nil
		return out
	}
	out := make([]byte, 0, b.size)
	for i, segment := range b.segments {
		out = append(out, segment...)
		b.segments[i] = nil
	}
	b.segments = nil
	return out
}

// Read implements io.Reader. Each segment is released once it is read.
func (b *Body) Read(p []byte) (int, error) {
	for len(b.segments) > 0 {
		if len(b.segments[0]) == 0 {
			b.segments[0] = nil
			b.segments = b.segments[1:]
			continue
		}
		n := copy(p, b.segments[0])
		b.segments[0] = b.segments[0][n:]
		return n, nil
	}
	return 0, io.EOF
}
