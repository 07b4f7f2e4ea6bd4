package callers

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/process/memory"
	"github.com/pkg/errors"
)

// Phases of a connection.
const (
	// phaseHead: bytes that arrive belong to the head of a request.
	phaseHead int32 = iota
	// phaseRequest: the head is complete.
	phaseRequest
)

const (
	// headSlackBytes is by how much a head may exceed the limit before it is refused
	// unparsed. The limit does not count optional white space. A head between both is
	// parsed, and refused by what its lines hold.
	headSlackBytes = 4 << 10
	// refusalTime is how long a connection stays open after a refusal that was written
	// before the caller had sent all: a close at once would reset the connection, and the
	// caller might not read the refusal. It is shorter while memory is short.
	refusalTime      = 500 * time.Millisecond
	shortRefusalTime = 50 * time.Millisecond
	// lastReadTime is how long an idle connection that gives way is read once more. A
	// request that has arrived is refused then; a close would reset the connection, and its
	// caller could not tell that the request did not run.
	lastReadTime = time.Millisecond
	// earlyErrorTime bounds the time in which net/http writes an error for a head that it
	// cannot parse. A caller that does not read would otherwise keep its connection for
	// good. Handlers set a deadline of their own before they write.
	earlyErrorTime = 5 * time.Second
)

// refusal is an answer that is written before net/http has parsed a request.
type refusal uint8

const (
	noRefusal refusal = iota
	headTooLarge
	memoryShort
)

// text returns the answer.
func (r refusal) text() string {
	const closing = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	if r == headTooLarge {
		return "HTTP/1.1 431 Request Header Fields Too Large\r\n" + closing
	}
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\n%s", RetryAfter().Seconds(), closing)
}

// RetryAfter returns the delay after which a request may return that was refused since
// memory is short. It is random, so that callers that were refused together do not return
// together.
func RetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterSpread) }

const (
	minRetryAfter    = time.Second
	retryAfterSpread = 2 * time.Second
)

// Conn is an accepted connection whose bytes are accounted.
type Conn struct {
	*net.TCPConn
	guard   *Guard
	options *Options
	id      memory.ID
	phase   atomic.Int32
	// head is used by the goroutine that reads.
	head  headCount
	close sync.Once

	// mu guards evicted and why, and the order of evictions and read deadlines.
	mu      sync.Mutex
	evicted bool
	why     cause
}

// past is a deadline that ends pending reads.
var past = time.Unix(1, 0)

// evict ends pending and later reads. The goroutine that reads answers or closes.
func (c *Conn) evict(why cause) {
	c.mu.Lock()
	c.evicted, c.why = true, why
	_ = c.TCPConn.SetReadDeadline(past) // fails only if the connection is closed
	if c.phase.Load() == phaseHead {    // all answers before were written
		_ = c.SetWriteDeadline(time.Now().Add(earlyErrorTime)) // as above
	}
	c.mu.Unlock()
	if !c.options.HTTP {
		c.given(&c.guard.closedMemory)
		_ = c.Close() // as above
	}
}

// Evicted reports whether the connection gives way to others.
func (c *Conn) Evicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that gives way.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.close.Do(func() { c.guard.remove(c.id) })
	return c.TCPConn.Close()
}

// Read implements net.Conn. It returns io.EOF after it has refused a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	switch {
	case !c.options.HTTP:
		c.received(n)
	case c.phase.Load() != phaseHead:
	case n > 0:
		if why := c.countHead(p[:n]); why != noRefusal {
			return 0, c.refuse(why, p)
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && c.Evicted():
		return 0, c.refuse(memoryShort, p)
	}
	return n, err //nolint:wrapcheck // net/http asks what kind of error it is
}

// countHead accounts for bytes of a head, and returns the answer with which to refuse it if
// there is no room for them.
func (c *Conn) countHead(p []byte) refusal {
	complete := c.head.add(p)
	if c.head.bytes > c.options.headLimit()+headSlackBytes {
		return headTooLarge
	}
	cost := c.head.cost()
	now := time.Now()
	if !c.guard.decide(memoryUsed, func(a *memory.Account) memory.Decision {
		a.Received(c.id, len(p), now)
		return a.GrowHead(c.id, cost, now)
	}) {
		return memoryShort
	}
	if complete {
		_ = c.SetWriteDeadline(now.Add(earlyErrorTime)) // fails only if the connection is closed
		c.phase.Store(phaseRequest)
	}
	return noRefusal
}

// refuse writes an answer if the caller has sent anything, and returns io.EOF. It reads and
// drops what the caller goes on to send for a while, into a buffer; a connection that gives
// way is read for lastReadTime at most.
func (c *Conn) refuse(why refusal, buffer []byte) error {
	c.phase.Store(phaseRequest)
	wait := refusalTime
	switch {
	case why == headTooLarge:
		c.guard.closedHead.Add(1)
	case c.head.bytes == 0 && !c.lastRead(buffer):
		c.given(&c.guard.closedMemory)
		return io.EOF
	default:
		c.given(&c.guard.refusedMemory)
		wait = shortRefusalTime
	}
	deadline := time.Now().Add(wait)
	_ = c.SetWriteDeadline(deadline) // the connection is closed anyway
	_, _ = io.WriteString(c.TCPConn, why.text())
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(deadline)
	for err := error(nil); err == nil; {
		_, err = c.TCPConn.Read(buffer)
	}
	return io.EOF
}

// lastRead reads from an idle connection that gives way, and reports whether a request has
// arrived on it.
func (c *Conn) lastRead(buffer []byte) bool {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lastReadTime)) // fails only if the connection is closed
	n, _ := c.TCPConn.Read(buffer)                              // an error has n == 0
	return n > 0
}

// given counts a connection that gives way: towards the counter for memory, or towards the
// one for connections if there were too many of them.
func (c *Conn) given(forMemory *atomic.Uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted && c.why == connectionsUsed {
		forMemory = &c.guard.closedConnections
	}
	forMemory.Add(1)
}

func (c *Conn) received(n int) {
	if n <= 0 {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.account.Received(c.id, n, time.Now())
}

// GrowHead accounts for a head of this many bytes and lines as it was parsed, where it was
// not counted as it arrived: it came together with the end of an earlier request. It
// reports whether there is room for it.
func (c *Conn) GrowHead(bytes, lines int) bool {
	cost := memory.HeadCost(bytes, lines) - c.head.charged
	if cost <= 0 {
		return true
	}
	return c.guard.decide(memoryUsed, func(a *memory.Account) memory.Decision { return a.GrowHead(c.id, cost, time.Now()) })
}

// GrowBody accounts for this many more bytes of the body, and reports whether there is room
// for them. received bytes have arrived since the last call.
func (c *Conn) GrowBody(bytes int64, received int) bool {
	now := time.Now()
	return c.guard.decide(memoryUsed, func(a *memory.Account) memory.Decision {
		a.Received(c.id, received, now)
		return a.GrowBody(c.id, bytes, now)
	})
}

// ShrinkBody accounts for bytes of the body that are not held any more.
func (c *Conn) ShrinkBody(bytes int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.account.ShrinkBody(c.id, bytes)
}

// Serve records that the request was read, and reports whether it may be sent. From then on
// the connection does not give way.
func (c *Conn) Serve() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.account.Serve(c.id)
}

// Refused counts a request that was read in part and is refused, since there is no room for
// it or the connection gives way.
func (c *Conn) Refused() { c.given(&c.guard.refusedMemory) }

// Release records that nothing is kept of the request any more.
func (c *Conn) Release() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.account.Release(c.id, time.Now())
}
