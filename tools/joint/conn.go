package joint

import (
	"net"
	"sync"
)

// sendBuffer is how many bytes a writer may be ahead of a cut direction.
const sendBuffer = 1 << 20

// conn is a connection as the host sees it that dialled.
type conn struct {
	net.Conn
	net         *Net
	there, back direction
	once        sync.Once
	done        chan struct{}

	mu       sync.Mutex
	room     *sync.Cond
	queue    []byte
	flushing bool
	failed   error
}

func newConn(under net.Conn, n *Net, there, back direction) *conn {
	c := &conn{Conn: under, net: n, there: there, back: back, done: make(chan struct{})}
	c.room = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	got, err := c.Conn.Read(b)
	if !c.net.await(c.back, c.done) {
		return 0, net.ErrClosed
	}
	return got, err //nolint:wrapcheck // readers compare it with io.EOF
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > sendBuffer && c.failed == nil {
		c.room.Wait()
	}
	if c.failed != nil {
		return 0, c.failed
	}
	if cut, _ := c.net.state(c.there); !cut && !c.flushing {
		return c.Conn.Write(b) //nolint:wrapcheck // as a connection's
	}
	c.queue = append(c.queue, b...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return len(b), nil
}

// flush writes what was queued once the direction is mended.
func (c *conn) flush() {
	open := c.net.await(c.there, c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = net.ErrClosed
	if open {
		_, c.failed = c.Conn.Write(c.queue)
	}
	c.queue = nil
	c.flushing = false
	c.room.Broadcast()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close() //nolint:wrapcheck // as a connection's
}
