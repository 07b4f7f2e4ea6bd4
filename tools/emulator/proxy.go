package emulator

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Link describes how a Proxy disturbs the traffic that it forwards.
type Link struct {
	// Delay is added before each chunk is forwarded, in both directions.
	Delay time.Duration
	// BlockToServer and BlockFromServer hold back the bytes sent to the server
	// and received from it until the link is changed.
	BlockToServer   bool
	BlockFromServer bool
}

// Proxy is a TCP proxy on loopback that can delay traffic, block it in one or
// both directions and reset connections. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	server  string
	link    Link
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// StartProxy starts a proxy that listens at address and forwards connections to
// server. With port 0 the system chooses the port.
func StartProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "emulator: proxy")
	}
	p := &Proxy{listener: listener, server: server, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes the link of open and of future connections.
func (p *Proxy) SetLink(l Link) {
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
			_ = tcp.SetLinger(0) // the connection may already be closed
		}
		_ = conn.Close() // the connection may already be closed
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the proxy stops in any case
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.SetLink(Link{})
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

// serve forwards one connection until either side ends it.
func (p *Proxy) serve(client net.Conn) {
	defer p.untrack(client)
	if !p.track(client) {
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	defer p.untrack(server)
	if !p.track(server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.copy(server, client, func(l Link) bool { return l.BlockToServer }, done)
	go p.copy(client, server, func(l Link) bool { return l.BlockFromServer }, done)
	<-done
}

// track registers a connection for Reset. It reports whether the proxy is still
// open.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return !p.closed
}

// untrack forgets a connection and closes it.
func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // the connection may already be closed
}

// copy forwards bytes in one direction while blocked does not hold them back.
func (p *Proxy) copy(to io.Writer, from io.Reader, blocked func(Link) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], blocked) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes a chunk once the link does not block it. It reports whether the
// chunk was written.
func (p *Proxy) forward(to io.Writer, chunk []byte, blocked func(Link) bool) bool {
	for {
		p.mu.Lock()
		link, changed, closed := p.link, p.changed, p.closed
		p.mu.Unlock()
		if closed {
			return false
		}
		if blocked(link) {
			<-changed
			continue
		}
		if link.Delay > 0 {
			time.Sleep(link.Delay)
		}
		_, err := to.Write(chunk)
		return err == nil
	}
}
