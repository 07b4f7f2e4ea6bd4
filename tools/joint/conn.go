package joint

import (
	"net"
	"sync"
)

// sendBuffer is how many bytes may be queued in a cut direction before a write
// blocks.
const sendBuffer = 1 << 20

// conn is a connection seen from the host that dialled: outbound is the
// direction of its writes, inbound that of its reads.
type conn struct {
	net.Conn
	net               *FaultNetwork
	outbound, inbound direction
	once              sync.Once
	done              chan struct{}

	mu       sync.Mutex
	flushed  *sync.Cond
	queue    []byte
	flushing bool
	writeErr error
}

func newConn(underlying net.Conn, n *FaultNetwork, outbound, inbound direction) *conn {
	c := &conn{Conn: underlying, net: n, outbound: outbound, inbound: inbound, done: make(chan struct{})}
	c.flushed = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	got, err := c.Conn.Read(b)
	if !c.net.await(c.inbound, c.done) {
		return 0, net.ErrClosed
	}
	return got, err //nolint:wrapcheck // callers compare it with io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > sendBuffer && c.writeErr == nil {
		c.flushed.Wait()
	}
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	if cut, _ := c.net.state(c.outbound); !cut && !c.flushing {
		return c.Conn.Write(b) //nolint:wrapcheck // a net.Conn returns its errors unwrapped
	}
	c.queue = append(c.queue, b...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return len(b), nil
}

// flush writes the queued bytes once the outbound direction is open. If the
// connection is closed first, the bytes are discarded and later writes fail.
func (c *conn) flush() {
	open := c.net.await(c.outbound, c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeErr = net.ErrClosed
	if open {
		_, c.writeErr = c.Conn.Write(c.queue)
	}
	c.queue = nil
	c.flushing = false
	c.flushed.Broadcast()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close() //nolint:wrapcheck // a net.Conn returns its errors unwrapped
}
