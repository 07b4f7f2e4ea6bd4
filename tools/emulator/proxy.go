package emulator

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Link is a disturbance of the traffic that a Proxy forwards.
type Link struct {
	// Delay is added before each chunk is forwarded, in both directions.
	Delay time.Duration
	// BlockToServer and BlockFromServer hold back the bytes sent to the server
	// and received from it until the disturbance ends.
	BlockToServer   bool
	BlockFromServer bool
}

// Proxy is a TCP proxy on loopback that can delay traffic, block it in one or
// both directions and reset connections. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	server string
	// links has the active disturbances, and link their combination, which was
	// last changed at changedAt.
	links     map[*Link]bool
	link      Link
	changed   chan struct{}
	changedAt time.Time
	conns     map[net.Conn]bool
	// clients maps the proxy's own addresses, as the server sees them, to those of
	// the clients.
	clients map[string]string
	closed  bool
}

// StartProxy starts a proxy that listens at address and forwards connections to
// server. With port 0 the system chooses the port.
func StartProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "emulator: proxy")
	}
	p := &Proxy{listener: listener, server: server, links: make(map[*Link]bool), changed: make(chan struct{}), conns: make(map[net.Conn]bool), clients: make(map[string]string)}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Disturb disturbs open and future connections until the returned function is
// called. Of several disturbances the longest delay and all blocks apply.
func (p *Proxy) Disturb(l Link) (end func()) {
	p.updateLinks(func() { p.links[&l] = true })
	return func() { p.updateLinks(func() { delete(p.links, &l) }) }
}

// updateLinks changes the active disturbances and combines them.
func (p *Proxy) updateLinks(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.link = Link{}
	for l := range p.links {
		p.link.Delay = max(p.link.Delay, l.Delay)
		p.link.BlockToServer = p.link.BlockToServer || l.BlockToServer
		p.link.BlockFromServer = p.link.BlockFromServer || l.BlockFromServer
	}
	p.changedAt = time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Undisturbed reports whether the link has not been disturbed in the last d.
func (p *Proxy) Undisturbed(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links) == 0 && time.Since(p.changedAt) > d
}

// Connected reports whether the proxy has an open connection to its server.
func (p *Proxy) Connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients) > 0
}

// Client returns the address of the client whose connection the proxy forwards
// from the given address of its own, or an empty text if it is not open.
func (p *Proxy) Client(from string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[from]
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may already be closed
	}
	_ = conn.Close() // the connection may already be closed
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // the proxy stops in any case
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.updateLinks(func() { clear(p.links) })
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
		if errors.Is(err, syscall.ECONNRESET) { // accepted, and reset at once
			reset(client)
		}
		return
	}
	defer p.untrack(server)
	if !p.track(server) {
		return
	}
	p.mu.Lock()
	p.clients[server.LocalAddr().String()] = client.RemoteAddr().String()
	p.mu.Unlock()
	defer p.forgetClient(server.LocalAddr().String())
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

func (p *Proxy) forgetClient(from string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, from)
}

// copy forwards bytes in one direction while blocked does not hold them back. It
// passes a reset on.
func (p *Proxy) copy(to, from net.Conn, blocked func(Link) bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], blocked) {
			return
		}
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
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
