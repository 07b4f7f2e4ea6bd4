package emulator

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link is what a Proxy does to the bytes that pass it.
type Link struct {
	// Delay is added to each piece, in each direction.
	Delay time.Duration
	// MuteThere and MuteBack hold back what goes to the target and what comes
	// from it.
	MuteThere bool
	MuteBack  bool
}

// Proxy is a TCP proxy on loopback that delays, silences, cuts one way and
// resets. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	to      string
	link    Link
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// StartProxy starts a proxy at an address to another; port 0 picks one.
func StartProxy(at, to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, errors.Wrap(err, "emulator: proxy")
	}
	p := &Proxy{listener: listener, to: to, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the link from now on, also of open connections.
func (p *Proxy) Set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a closed one needs none
		}
		_ = conn.Close() // it may be closed
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close() // it is of no use any more
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Set(Link{})
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(from net.Conn) {
	defer p.drop(from)
	if !p.keep(from) {
		return
	}
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer p.drop(to)
	if !p.keep(to) {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(to, from, func(l Link) bool { return l.MuteThere }, done)
	go p.copy(from, to, func(l Link) bool { return l.MuteBack }, done)
	<-done
}

func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return !p.closed
}

func (p *Proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // it may be closed
}

func (p *Proxy) copy(to io.Writer, from io.Reader, mute func(Link) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n], mute) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes a piece once the link lets it through.
func (p *Proxy) pass(to io.Writer, piece []byte, mute func(Link) bool) bool {
	for {
		p.mu.Lock()
		link, changed, closed := p.link, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if mute(link) {
			<-changed
			continue
		}
		if link.Delay > 0 {
			time.Sleep(link.Delay)
		}
		_, err := to.Write(piece)
		return err == nil
	}
}
