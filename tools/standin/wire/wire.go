// Package wire is a TCP relay that simulates the network between two addresses.
// The bytes of each direction can be delayed or held back independently, so that
// a test can cause a one-way partition.
//
// TCP either delivers bytes in order or breaks the connection. A direction that
// drops packets is therefore simulated by holding its bytes back and delivering
// them when the partition heals, as retransmission would; connections stay open.
// New connections are accepted during that time, and their bytes are held back
// too. A cut closes all connections, and new ones as soon as they are accepted.
package wire

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// bufferBytes is the maximum number of bytes that one read moves.
const bufferBytes = 32 << 10

// dialTimeout bounds the connection attempt to the destination.
const dialTimeout = time.Second

// Direction is a direction of a relay's connections.
type Direction int

// Directions. Forward is from the client, which dials, to the server.
const (
	Forward Direction = iota
	Backward
)

// Relay forwards connections to the server at a destination address.
type Relay struct {
	destination string
	listener    net.Listener
	directions  [2]*directionState

	mu     sync.Mutex
	cut    bool
	closed bool
	conns  map[net.Conn]struct{}
}

// directionState is the state of one direction.
type directionState struct {
	mu       sync.Mutex
	released chan struct{} // closed unless bytes are held back
	held     bool
	delay    time.Duration
}

// Start relays connections from a new loopback address to a destination.
func Start(destination string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Relay{destination: destination, listener: listener, conns: map[net.Conn]struct{}{}}
	for i := range r.directions {
		r.directions[i] = newDirectionState()
	}
	go r.accept()
	return r, nil
}

// Address returns the address where the relay listens, "IP:port".
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Hold holds the bytes of one direction back, or delivers them again.
func (r *Relay) Hold(d Direction, hold bool) { r.directions[d].setHeld(hold) }

// Delay delays the bytes of one direction.
func (r *Relay) Delay(d Direction, delay time.Duration) { r.directions[d].setDelay(delay) }

// Cut closes all connections, and new ones as soon as they are accepted, until
// it is called with false.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		r.closeLocked()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.closeLocked()
	r.mu.Unlock()
	for _, d := range r.directions {
		d.setHeld(false)
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relay(client)
	}
}

func (r *Relay) relay(client net.Conn) {
	defer client.Close() //nolint:errcheck // the connection is over
	server, err := net.DialTimeout("tcp", r.destination, dialTimeout)
	if err != nil {
		return
	}
	defer server.Close() //nolint:errcheck // the connection is over
	if !r.register(client, server) {
		return
	}
	defer r.forget(client, server)
	done := make(chan struct{})
	go func() {
		r.directions[Backward].copy(client, server)
		close(done)
	}()
	r.directions[Forward].copy(server, client)
	<-done
}

// register adds connections to those that a cut closes. It returns false if the
// relay is cut or closed.
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

func newDirectionState() *directionState {
	d := &directionState{released: make(chan struct{})}
	close(d.released)
	return d
}

func (d *directionState) setHeld(hold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case hold && !d.held:
		d.released = make(chan struct{})
	case !hold && d.held:
		close(d.released)
	}
	d.held = hold
}

func (d *directionState) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

func (d *directionState) state() (released <-chan struct{}, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.released, d.delay
}

// copy copies bytes until a connection fails or from reaches its end, which it
// signals to the other side.
func (d *directionState) copy(to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		released, delay := d.state()
		time.Sleep(delay)
		<-released
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			d.end(to, err)
			return
		}
	}
}

// end closes a connection after its source has ended with err. After a regular
// end only the writing half is closed.
func (d *directionState) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(err, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}
