package edge

import (
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"carobspoke.example/core/process/memory"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/callers"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/tunnel"
)

// hostLimits are the memory in bytes and the descriptors that the process may use.
type hostLimits struct {
	memory      int64
	descriptors int
}

// Limits where neither the settings nor the machine say.
const (
	defaultMemoryBytes = 512 << 20
	defaultDescriptors = 4096
)

// limitsOf returns the limits of the settings, and of the machine for those that they do not
// name. The descriptors are at most those that the process may have.
func limitsOf(s *Settings) hostLimits {
	limits := hostLimits{memory: s.MemoryBytes, descriptors: s.Descriptors}
	if limits.memory == 0 {
		limits.memory = defaultMemoryBytes
		if found, err := callers.HostMemory(); err == nil {
			limits.memory = found
		}
	}
	found, err := callers.HostDescriptors()
	switch {
	case err != nil && limits.descriptors == 0:
		limits.descriptors = defaultDescriptors
	case err == nil && (limits.descriptors == 0 || found < limits.descriptors):
		limits.descriptors = found
	}
	return limits
}

// SetMemoryLimit sets the soft limit of the Go runtime to the share of the host's memory that
// the account of callers counts on. A lower limit that is in force stays.
func SetMemoryLimit(s *Settings) {
	const read = -1
	if limit := memory.RuntimeLimit(limitsOf(s).memory); limit < debug.SetMemoryLimit(read) {
		debug.SetMemoryLimit(limit)
	}
}

// Costs and bounds of connections.
const (
	// callerConnBytes is what a caller's connection costs without a request: stacks,
	// buffers and tables. peerConnBytes is that of a peer, whose buffers are larger.
	callerConnBytes = 16 << 10
	peerConnBytes   = 96 << 10
	// Parts of the descriptors, and of the account, that connections of callers and of
	// peers may use. The rest of the descriptors is for targets, the store and files.
	callerDescriptorShare, callerMemoryShare = 2, 3
	peerDescriptorShare, peerMemoryShare     = 8, 4
	// serviceConns is the number of connections to the readiness and to the metrics
	// interface each, minServiceConns that on hosts with few descriptors. Few balancers and
	// scrapers use them.
	serviceConns, minServiceConns, serviceDescriptorShare = 32, 4, 64
	// minConns is the number of connections that callers or peers may have on any host.
	minConns = 16
	// serviceHeadBytes bounds a head at the readiness and metrics interfaces.
	serviceHeadBytes = 16 << 10
	// serviceTime bounds the answer of these interfaces to a slow reader.
	serviceTime = 30 * time.Second
	// serviceIdleTime exceeds the interval between two scrapes.
	serviceIdleTime = 5 * time.Minute
)

// Buffers of the sockets of callers. Bytes that are received and not read count as memory of
// the host, and the system would let them grow to some MB a socket.
const (
	// socketShare is the part of the memory for one buffer of a socket.
	socketShare    = 2048
	minSocketBytes = 64 << 10
	// unboundedSocketMemory is the memory from which the buffers are left to the system.
	unboundedSocketMemory = 4 << 30
)

// socketBytes returns the size of each buffer of a caller's socket, or zero to leave it to the
// system.
func (l hostLimits) socketBytes() int {
	if l.memory >= unboundedSocketMemory {
		return 0
	}
	return int(max(l.memory/socketShare, minSocketBytes))
}

// options returns the options of the listener of a group. headBytes is that of callers.
func (l hostLimits) options(g memory.Group, headBytes func() int) callers.Options {
	account := memory.ForHost(l.memory).Limit
	bound := func(descriptorShare int, memoryShare, cost int64) int {
		return max(min(l.descriptors/descriptorShare, int(account/memoryShare/cost)), minConns)
	}
	switch g {
	case memory.Callers:
		return callers.Options{
			Group: g, Connections: bound(callerDescriptorShare, callerMemoryShare, callerConnBytes), ConnectionBytes: callerConnBytes,
			HTTP: true, HeadBytes: headBytes, MaxHeadBytes: maxHeaderBytes,
		}
	case memory.Peers:
		return callers.Options{Group: g, Connections: bound(peerDescriptorShare, peerMemoryShare, peerConnBytes), ConnectionBytes: peerConnBytes}
	default:
		most := max(min(serviceConns, l.descriptors/serviceDescriptorShare), minServiceConns)
		return callers.Options{Group: g, Connections: most, ConnectionBytes: callerConnBytes, HTTP: true, MaxHeadBytes: serviceHeadBytes}
	}
}

// peerBounds bounds what peers may send. Requests for records are short, and a message of a
// tunnel holds 16 KB. A daemon has one connection to each peer, and opens at most
// tunnel.MaxOpen tunnels for others.
func peerBounds() peers.Bounds {
	const calls, messageBytes, headerBytes, handshake = 2 * tunnel.MaxOpen, 64 << 10, 16 << 10, 5 * time.Second
	return peers.Bounds{Calls: calls, CallsPerConnection: calls, MessageBytes: messageBytes, HeaderBytes: headerBytes, HandshakeTime: handshake}
}

// limitTolerance is the factor by which a caller's connection may exceed a
// published limit. Callers may use the limit in full, and they measure it from
// when they received the answer, which is later than when it was sent.
const limitTolerance = 1.5

// callerConns closes callers' connections that are idle for too long or whose
// request header arrives too late. The timeouts of http.Server cannot be used,
// because the limits may change while a connection waits.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
}

// connWait is the state of a connection that waits for a request header, and when
// it entered this state.
type connWait struct {
	since time.Time
	state http.ConnState
}

func newCallerConns() *callerConns { return &callerConns{waiting: make(map[net.Conn]connWait)} }

// stateChanged implements http.Server.ConnState. A connection becomes active when a
// header has been read in full.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		c.waiting[conn] = connWait{since: time.Now(), state: state}
		return
	}
	delete(c.waiting, conn)
}

// closeExpired closes the connections that have exceeded the limits at now.
func (c *callerConns) closeExpired(l *routing.Limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.waiting {
		if longest := maxWait(l, w.state); longest > 0 && now.Sub(w.since) > longest {
			_ = conn.Close() // the caller sent no complete header, so no request is lost
			delete(c.waiting, conn)
		}
	}
}

// maxWait returns how long a connection may stay in a state, or zero if the
// limits do not bound it. The limit of an idle connection includes HeaderTimeout,
// because a connection stays idle while the next header is being read.
func maxWait(l *routing.Limits, state http.ConnState) time.Duration {
	limit := l.HeaderTimeout
	if state == http.StateIdle {
		if l.IdleTimeout <= 0 {
			return 0
		}
		limit += l.IdleTimeout
	}
	return time.Duration(limitTolerance * float64(limit))
}
