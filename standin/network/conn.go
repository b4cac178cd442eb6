package network

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxQueuedSegments bounds the segments under way in one direction. Beyond it the sender blocks, as with TCP.
	maxQueuedSegments = 256
	// segmentBytes is the size of the buffer for reads from the underlying connection.
	segmentBytes = 64 << 10
)

// segment is the data of one write or read, with the time at which it arrives.
type segment struct {
	data      []byte
	deliverAt time.Time
}

// conn is a connection whose data is delayed in both directions, and held back while the link is cut.
type conn struct {
	net.Conn
	network *Network
	link    link

	outgoing  chan segment
	incoming  chan segment
	closed    chan struct{}
	closeOnce sync.Once

	// readMu lets one reader at a time use the fields below.
	readMu  sync.Mutex
	unread  []byte
	readErr error

	// deadlineMu guards the fields below. It is not readMu, because a deadline can be set while a reader waits.
	deadlineMu  sync.Mutex
	readTimer   *time.Timer
	readExpired chan struct{}
}

func newConn(n *Network, c net.Conn, l link) *conn {
	delayed := &conn{
		Conn:        c,
		network:     n,
		link:        l,
		outgoing:    make(chan segment, maxQueuedSegments),
		incoming:    make(chan segment, maxQueuedSegments),
		closed:      make(chan struct{}),
		readExpired: make(chan struct{}),
	}
	go delayed.send()
	go delayed.receive()
	return delayed
}

// Write queues a copy of b, which is sent after the delay of the link.
func (c *conn) Write(b []byte) (int, error) {
	delay, _, _ := c.network.linkState(c.link)
	s := segment{data: append([]byte(nil), b...), deliverAt: time.Now().Add(delay)}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.outgoing <- s:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// send passes outgoing segments to the underlying connection when they are due.
func (c *conn) send() {
	for {
		select {
		case s := <-c.outgoing:
			if !c.awaitDelivery(s.deliverAt, c.link) {
				return
			}
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// awaitDelivery waits until deliverAt and until the link is up. It returns false if the connection is closed first.
func (c *conn) awaitDelivery(deliverAt time.Time, l link) bool {
	if wait := time.Until(deliverAt); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.closed:
			return false
		}
	}
	return c.network.awaitUp(c.closed, l) == nil
}

// receive reads from the underlying connection and passes on the data when it is due.
func (c *conn) receive() {
	defer close(c.incoming)
	reverse := link{from: c.link.to, to: c.link.from}
	for {
		buffer := make([]byte, segmentBytes)
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			delay, _, _ := c.network.linkState(reverse)
			if !c.deliver(segment{data: buffer[:n], deliverAt: time.Now().Add(delay)}, reverse) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *conn) deliver(s segment, reverse link) bool {
	if !c.awaitDelivery(s.deliverAt, reverse) {
		return false
	}
	select {
	case c.incoming <- s:
		return true
	case <-c.closed:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.deadlineMu.Lock()
		readExpired := c.readExpired
		c.deadlineMu.Unlock()
		select {
		case s, ok := <-c.incoming:
			if !ok {
				c.readErr = io.EOF
				return 0, io.EOF
			}
			c.unread = s.data
		case <-readExpired:
			return 0, timeoutError{}
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. It wakes a waiting reader, which net/http relies on to abort background reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.readTimer != nil {
		c.readTimer.Stop()
		c.readTimer = nil
	}
	select {
	case <-c.readExpired:
		c.readExpired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return nil
	}
	readExpired := c.readExpired
	expire := func() {
		c.deadlineMu.Lock()
		defer c.deadlineMu.Unlock()
		if readExpired == c.readExpired {
			select {
			case <-readExpired:
			default:
				close(readExpired)
			}
		}
	}
	c.readTimer = time.AfterFunc(time.Until(t), expire)
	return nil
}

// timeoutError is the error of a read past its deadline.
type timeoutError struct{}

func (timeoutError) Error() string   { return "read deadline exceeded" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
