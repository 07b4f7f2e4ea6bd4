// Package joint tests several complete daemons together over a network with
// injected faults, and checks the guarantees that hold across the whole fleet.
//
// A FaultNetwork connects the daemons of one process. Each direction between two
// hosts is cut separately. While a direction is cut, its datagrams are lost, its
// connections are not established, and the bytes of its established connections
// are delayed until the direction is restored or the connection is closed, like
// TCP retransmissions. A writer blocks only when its send buffer is full.
// Traffic to targets, callers and the platform bypasses the network.
package joint

import (
	"context"
	"net"
	"sync"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/serving/process/membership"
)

// direction identifies the traffic from one host to another.
type direction struct{ from, to names.Host }

// FaultNetwork is a network between hosts that loses or delays the traffic of
// cut directions. The zero value loses nothing but cannot be cut; use
// NewFaultNetwork. It is safe for concurrent use.
type FaultNetwork struct {
	mu            sync.Mutex
	cut           map[direction]bool
	dropFrom      map[names.Host]bool
	changed       chan struct{}
	lostDatagrams int
	waits         int
}

// NewFaultNetwork returns a network without cuts.
func NewFaultNetwork() *FaultNetwork {
	return &FaultNetwork{
		cut:      map[direction]bool{},
		dropFrom: map[names.Host]bool{},
		changed:  make(chan struct{}),
	}
}

// Attach sets a daemon's options so that it uses the network. It can be called
// from dev.Config.AdjustOptions.
func (n *FaultNetwork) Attach(o *daemon.Options) {
	from := o.Settings.Host
	o.Network = func(host names.Host) (membership.Network, error) {
		underlying, err := membership.ListenUDP(host)
		if err != nil {
			return nil, err
		}
		return &datagramSocket{Network: underlying, net: n, from: host}, nil
	}
	o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, from, names.Host(address))
	}
}

// Cut cuts the direction from one host to another; the opposite direction is
// unaffected.
func (n *FaultNetwork) Cut(from, to names.Host) {
	n.update(func() { n.cut[direction{from, to}] = true })
}

// Partition cuts both directions between each host of one side and each of the
// other.
func (n *FaultNetwork) Partition(one, other []names.Host) {
	for _, a := range one {
		for _, b := range other {
			n.Cut(a, b)
			n.Cut(b, a)
		}
	}
}

// DropDatagramsFrom drops all datagrams that a host sends from now on, as if its
// process were killed. Heal does not undo it.
func (n *FaultNetwork) DropDatagramsFrom(host names.Host) {
	n.update(func() { n.dropFrom[host] = true })
}

// Heal removes all cuts.
func (n *FaultNetwork) Heal() { n.update(func() { clear(n.cut) }) }

func (n *FaultNetwork) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// state reports whether a direction is cut, and returns a channel that is closed
// at the next change of the network.
func (n *FaultNetwork) state(d direction) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[d], n.changed
}

// await blocks until a direction is not cut or done is closed. It reports
// whether the direction is open.
func (n *FaultNetwork) await(d direction, done <-chan struct{}) bool {
	for {
		cut, changed := n.state(d)
		if !cut {
			return true
		}
		n.increment(&n.waits)
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (n *FaultNetwork) drops(d direction) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	drop := n.cut[d] || n.dropFrom[d.from]
	if drop {
		n.lostDatagrams++
	}
	return drop
}

func (n *FaultNetwork) increment(counter *int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	*counter++
}

// Stats returns the number of datagrams lost, and how often a dial, a read or a
// queued write waited for a cut direction.
func (n *FaultNetwork) Stats() (lostDatagrams, waits int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lostDatagrams, n.waits
}

func (n *FaultNetwork) dial(ctx context.Context, from, to names.Host) (net.Conn, error) {
	outbound, inbound := direction{from, to}, direction{to, from}
	if !n.await(outbound, ctx.Done()) || !n.await(inbound, ctx.Done()) {
		return nil, ctx.Err() //nolint:wrapcheck // callers of Dial expect the context's own errors
	}
	var dialer net.Dialer
	underlying, err := dialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, err //nolint:wrapcheck // callers of Dial expect the dialer's own errors
	}
	return newConn(underlying, n, outbound, inbound), nil
}

// datagramSocket is the datagram socket of a host; it drops what the network
// loses.
type datagramSocket struct {
	membership.Network
	net  *FaultNetwork
	from names.Host
}

// Send implements membership.Network.
func (s *datagramSocket) Send(to names.Host, packet []byte) error {
	if s.net.drops(direction{s.from, to}) {
		return nil
	}
	return s.Network.Send(to, packet)
}
