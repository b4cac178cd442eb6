package clientlimits

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
)

const (
	// A stranger opens peerConnections connections with peerCalls calls each. Every call has a message of peerMessageBytes
	// that lacks its last byte; a message of a relay host may be 8 MB long.
	peerConnections  = 2
	peerCalls        = 20
	peerMessageBytes = 6 << 20
	frameBytes       = 16 << 10
)

// peerCall returns an ordinary call of another relay host.
func peerCall(address string) func() error {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
		defer cancel()
		pool := peergrpc.NewPool(insecure.NewCredentials())
		defer pool.Close()
		// The cell has no jobs, or another owner than this host; both are answers.
		_, err := peergrpc.NewJobsClient(pool).WaitingJobs(ctx, address, 0)
		return err
	}
}

// stranger is an HTTP/2 connection with the windows that the process has opened.
type stranger struct {
	conn   net.Conn
	framer *http2.Framer

	// mu guards the fields below, because frames are read while others are written.
	mu             sync.Mutex
	initial        int
	connection     int
	streams        map[uint32]int
	windowsChanged chan struct{}
	closed         bool
}

func headerBlock() []byte {
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for _, h := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", peerv1.Jobs_Submit_FullMethodName},
		{":authority", "a"},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]})
	}
	return []byte(block.String())
}

// sendUnfinishedCalls sends calls whose messages lack their last byte over a connection that stays open, as far as the
// process lets them through.
func sendUnfinishedCalls(t *testing.T, address string) error {
	t.Helper()
	conn := dial(t, address)
	s := &stranger{
		conn: conn, framer: http2.NewFramer(conn, conn), initial: 65_535, connection: 65_535,
		streams: make(map[uint32]int), windowsChanged: make(chan struct{}, 1),
	}
	if _, err := conn.Write([]byte(http2.ClientPreface)); err != nil {
		return err
	}
	if err := s.framer.WriteSettings(); err != nil {
		return err
	}
	go s.readFrames()
	left := make(map[uint32]int)
	start := make([]byte, 5)
	binary.BigEndian.PutUint32(start[1:], peerMessageBytes)
	for i := range uint32(peerCalls) {
		id := 2*i + 1
		s.mu.Lock()
		s.streams[id] = s.initial - len(start)
		s.connection -= len(start)
		err := s.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headerBlock(), EndHeaders: true})
		if err == nil {
			err = s.framer.WriteData(id, false, start)
		}
		s.mu.Unlock()
		if err != nil {
			return nil //nolint:nilerr // The process has refused the connection.
		}
		left[id] = peerMessageBytes - 1
	}
	s.sendRest(left)
	return nil
}

// sendRest sends the rest of the messages in turn, as far as the windows allow.
func (s *stranger) sendRest(left map[uint32]int) {
	for len(left) > 0 {
		progress := false
		for id := range left {
			n, ok := s.sendFrame(id, left[id])
			if !ok {
				return
			}
			progress = progress || n > 0
			if left[id] -= n; left[id] == 0 {
				delete(left, id)
			}
		}
		if progress {
			continue
		}
		timer := time.NewTimer(sendPatience)
		select {
		case <-s.windowsChanged:
			timer.Stop()
		case <-timer.C:
			return
		}
	}
}

// sendFrame sends as much of a message as the windows and the size of a frame allow. It returns false if the connection is
// closed.
func (s *stranger) sendFrame(id uint32, left int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	window, open := s.streams[id]
	if !open {
		return left, !s.closed
	}
	n := max(0, min(left, window, s.connection, frameBytes))
	if n == 0 || s.closed {
		return 0, !s.closed
	}
	s.streams[id] -= n
	s.connection -= n
	_ = s.conn.SetWriteDeadline(time.Now().Add(sendPatience))
	return n, s.framer.WriteData(id, false, make([]byte, n)) == nil
}

// readFrames follows the windows until the connection ends.
func (s *stranger) readFrames() {
	for {
		frame, err := s.framer.ReadFrame()
		s.mu.Lock()
		if err != nil {
			s.closed = true
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if v, ok := f.Value(http2.SettingInitialWindowSize); ok {
				for id := range s.streams {
					s.streams[id] += int(v) - s.initial
				}
				s.initial = int(v)
			}
			if !f.IsAck() {
				_ = s.framer.WriteSettingsAck()
			}
		case *http2.WindowUpdateFrame:
			if f.StreamID == 0 {
				s.connection += int(f.Increment)
			} else if _, ok := s.streams[f.StreamID]; ok {
				s.streams[f.StreamID] += int(f.Increment)
			}
		case *http2.RSTStreamFrame:
			delete(s.streams, f.StreamID)
		case *http2.PingFrame:
			if !f.IsAck() {
				_ = s.framer.WritePing(true, f.Data)
			}
		default:
		}
		s.mu.Unlock()
		select {
		case s.windowsChanged <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}
