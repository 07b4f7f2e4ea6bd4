// Package memnet carries datagrams between daemons in one process, for tests.
// Links can be cut in one direction, delayed and made to lose datagrams.
package memnet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carobspoke.example/core/names"
)

// queued is how many datagrams wait at an endpoint before more are lost.
const queued = 256

// errClosed ends Receive.
var errClosed = errors.New("memnet: closed")

// Link is what happens to datagrams from one host to another.
type Link struct {
	Cut   bool
	Delay time.Duration
	// Loss is the share of datagrams that are lost.
	Loss float64
}

// Net is a network in memory. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	endpoints map[names.Host]*Endpoint
	link      func(from, to names.Host) Link
	random    *rand.Rand
}

// New returns a network on which every link is perfect.
func New(seed uint64) *Net {
	return &Net{
		endpoints: make(map[names.Host]*Endpoint),
		link:      func(names.Host, names.Host) Link { return Link{} },
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// SetLinks says what happens to datagrams from now on.
func (n *Net) SetLinks(link func(from, to names.Host) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// Listen returns the endpoint of a host, in place of an earlier one.
func (n *Net) Listen(h names.Host) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &Endpoint{net: n, host: h, in: make(chan []byte, queued), done: make(chan struct{})}
	n.endpoints[h] = e
	return e
}

// Endpoint is one host's end of the network.
type Endpoint struct {
	net  *Net
	host names.Host
	in   chan []byte
	once sync.Once
	done chan struct{}
}

// Send carries a datagram, or loses it.
func (e *Endpoint) Send(to names.Host, datagram []byte) error {
	e.net.mu.Lock()
	link := e.net.link(e.host, to)
	lost := link.Cut || link.Loss > 0 && e.net.random.Float64() < link.Loss
	peer := e.net.endpoints[to]
	e.net.mu.Unlock()
	if lost || peer == nil {
		return nil
	}
	carried := append([]byte(nil), datagram...)
	if link.Delay > 0 {
		time.AfterFunc(link.Delay, func() { peer.put(carried) })
		return nil
	}
	peer.put(carried)
	return nil
}

func (e *Endpoint) put(datagram []byte) {
	select {
	case e.in <- datagram:
	default:
	}
}

// Receive waits for a datagram.
func (e *Endpoint) Receive(buffer []byte) (int, error) {
	select {
	case datagram := <-e.in:
		return copy(buffer, datagram), nil
	case <-e.done:
		return 0, errClosed
	}
}

// Close ends Receive.
func (e *Endpoint) Close() error {
	e.once.Do(func() { close(e.done) })
	return nil
}
