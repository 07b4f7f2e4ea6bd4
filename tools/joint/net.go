// Package joint runs whole daemons against each other over a network that
// tests cut, and checks the promises that only all of them together can keep.
//
// A Net stands between the daemons of one process. It acts on each direction
// between two hosts by itself: datagrams are lost, connections are not
// established, and bytes of established connections are held back until the
// direction is mended or the connection is closed, as TCP holds back what it
// sends again. A writer does not notice that until its send buffer is full.
// Traffic to targets, callers and the platform does not pass
// through it.
package joint

import (
	"context"
	"net"
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/serving/process/membership"
)

// direction is from one host to another.
type direction struct{ from, to names.Host }

// Net is a network between hosts. The zero value loses nothing. It is safe for
// concurrent use.
type Net struct {
	mu      sync.Mutex
	cut     map[direction]bool
	muted   map[names.Host]bool
	changed chan struct{}
	lost    int
	held    int
}

// NewNet returns a network that loses nothing.
func NewNet() *Net {
	return &Net{
		cut:     map[direction]bool{},
		muted:   map[names.Host]bool{},
		changed: make(chan struct{}),
	}
}

// Attach makes a daemon use the network. It fits dev.Config.Options.
func (n *Net) Attach(o *daemon.Options) {
	from := o.Settings.Host
	o.Network = func(host names.Host) (membership.Network, error) {
		under, err := membership.ListenUDP(host)
		if err != nil {
			return nil, err
		}
		return &datagrams{Network: under, net: n, from: host}, nil
	}
	o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, from, names.Host(address))
	}
}

// Cut cuts the direction between two hosts.
func (n *Net) Cut(from, to names.Host) { n.change(func() { n.cut[direction{from, to}] = true }) }

// Part cuts both directions between each host of one side and each of the
// other.
func (n *Net) Part(one, other []names.Host) {
	for _, a := range one {
		for _, b := range other {
			n.Cut(a, b)
			n.Cut(b, a)
		}
	}
}

// Mute loses a host's own datagrams for good, as those of a killed process.
func (n *Net) Mute(host names.Host) { n.change(func() { n.muted[host] = true }) }

// Mend ends all cuts.
func (n *Net) Mend() { n.change(func() { clear(n.cut) }) }

func (n *Net) change(what func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	what()
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether a direction is cut, and what is closed at the next
// change.
func (n *Net) state(d direction) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[d], n.changed
}

// await waits until a direction is open, or done is closed. It reports whether
// the direction is open.
func (n *Net) await(d direction, done <-chan struct{}) bool {
	for {
		cut, changed := n.state(d)
		if !cut {
			return true
		}
		n.count(&n.held)
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (n *Net) loses(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.cut[d] || n.muted[d.from]
	if lost {
		n.lost++
	}
	return lost
}

func (n *Net) count(what *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*what++
}

// Lost returns how many datagrams were lost, and how often a connection or its
// bytes had to wait.
func (n *Net) Lost() (datagrams, held int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost, n.held
}

func (n *Net) dial(ctx context.Context, from, to names.Host) (net.Conn, error) {
	there, back := direction{from, to}, direction{to, from}
	if !n.await(there, ctx.Done()) || !n.await(back, ctx.Done()) {
		return nil, ctx.Err() //nolint:wrapcheck // the dialer's caller knows the context's errors
	}
	var dialer net.Dialer
	under, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err //nolint:wrapcheck // the dialer's caller knows the dialer's errors
	}
	return newConn(under, n, there, back), nil
}

// datagrams is a host's socket.
type datagrams struct {
	membership.Network
	net  *Net
	from names.Host
}

// Send implements membership.Network.
func (s *datagrams) Send(to names.Host, packet []byte) error {
	if s.net.loses(direction{s.from, to}) {
		return nil
	}
	return s.Network.Send(to, packet)
}
