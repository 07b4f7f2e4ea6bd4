// Package wire is a TCP relay that stands for the network between two
// addresses. Each direction can pass, delay, drop or be cut by itself, so that
// a test can make a one-way partition.
//
// TCP delivers or breaks: a dropped direction therefore holds its bytes back
// and delivers them when the partition heals, as retransmission would, and
// connections stay open meanwhile. A new connection during a drop is accepted,
// and its bytes wait. A cut closes connections and refuses new ones.
package wire

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// bufferBytes is the most that one read moves.
const bufferBytes = 32 << 10

// dialTimeout bounds a connection to the far end.
const dialTimeout = time.Second

// Direction is one way through a relay.
type Direction int

// Directions. Forward is from the dialling side to the listening one.
const (
	Forward Direction = iota
	Backward
)

// Relay forwards connections to an address.
type Relay struct {
	to       string
	listener net.Listener
	ways     [2]*way

	mu     sync.Mutex
	cut    bool
	closed bool
	conns  map[net.Conn]struct{}
}

// way is the state of one direction.
type way struct {
	mu    sync.Mutex
	open  chan struct{} // closed while bytes pass
	drop  bool
	delay time.Duration
}

// Start relays connections from a new loopback address to the address to.
func Start(to string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{to: to, listener: listener, conns: map[net.Conn]struct{}{}}
	for i := range r.ways {
		r.ways[i] = newWay()
	}
	go r.accept()
	return r, nil
}

// Address is where the relay listens, "IP:port".
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Drop holds the bytes of one direction back, or lets them pass again.
func (r *Relay) Drop(d Direction, drop bool) { r.ways[d].setDrop(drop) }

// Delay delays the bytes of one direction.
func (r *Relay) Delay(d Direction, delay time.Duration) { r.ways[d].setDelay(delay) }

// Cut closes all connections, and new ones at once until it is called with
// false.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		r.closeLocked()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.closeLocked()
	r.mu.Unlock()
	for _, w := range r.ways {
		w.setDrop(false)
	}
	return errors.Wrap(r.listener.Close(), "close")
}

func (r *Relay) closeLocked() {
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = map[net.Conn]struct{}{}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(near)
	}
}

func (r *Relay) relay(near net.Conn) {
	defer near.Close() //nolint:errcheck // the connection is over
	far, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		return
	}
	defer far.Close() //nolint:errcheck // the connection is over
	if !r.register(near, far) {
		return
	}
	defer r.forget(near, far)
	done := make(chan struct{})
	go func() {
		r.ways[Backward].copy(near, far)
		close(done)
	}()
	r.ways[Forward].copy(far, near)
	<-done
}

func (r *Relay) register(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || r.closed {
		return false
	}
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	return true
}

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

func newWay() *way {
	w := &way{open: make(chan struct{})}
	close(w.open)
	return w
}

func (w *way) setDrop(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case drop && !w.drop:
		w.open = make(chan struct{})
	case !drop && w.drop:
		close(w.open)
	}
	w.drop = drop
}

func (w *way) setDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = delay
}

func (w *way) state() (open <-chan struct{}, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open, w.delay
}

// copy moves bytes until an end fails. It passes the end of one side's
// writing on.
func (w *way) copy(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		open, delay := w.state()
		time.Sleep(delay)
		<-open
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			w.end(to, err)
			return
		}
	}
}

func (w *way) end(to net.Conn, err error) {
	half, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = half.CloseWrite()
		return
	}
	_ = to.Close()
}
