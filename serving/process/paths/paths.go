// Package paths connects a daemon to targets: directly, or through a peer if the daemon
// does not reach them, see core/process/reach.
package paths

import (
	"context"
	"net"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/reach"
	"carobspoke.example/serving/connection/upstream"
	"go.uber.org/zap"
)

const (
	// hedgeDelay is how long a connection may take before the other way is tried beside
	// it. A target normally accepts within milliseconds.
	hedgeDelay = 120 * time.Millisecond
	// peerDelay is how long a peer may take before another one is tried beside it.
	peerDelay = 120 * time.Millisecond
	// maxPeers bounds the peers that are tried. One that is cut off too says so at once.
	maxPeers = 16
	// badPeerTime is how long a peer that could not help is tried after the others.
	badPeerTime = 2 * time.Second
)

// PeerDialer opens a connection to a target through a peer; see tunnel.Client.
type PeerDialer func(ctx context.Context, peer names.Host, id names.Target, address string) (net.Conn, error)

// Config holds the dependencies of a Dialer.
type Config struct {
	// Direct opens direct connections.
	Direct upstream.Dialer
	// Through opens connections through peers.
	Through PeerDialer
	// Peers returns the peers that may be asked, the preferred ones first.
	Peers func() []names.Host
	// PeersIn returns those of Peers in some regions. It may be nil if no connection is
	// restricted to regions.
	PeersIn func([]names.Region) []names.Host
	// CutOff is called when the daemon has found that it is cut off from all targets.
	CutOff func()
	// Count adds one to a counter.
	Count func(name string)
	Log   *zap.Logger
}

// Dialer opens connections to targets. It is safe for concurrent use.
type Dialer struct {
	config Config

	// mu is a leaf lock. It guards the fields below.
	mu    sync.Mutex
	table *reach.Table
	// bad holds when a peer last could not help.
	bad map[names.Host]time.Time
}

// New returns a Dialer without detours.
func New(c Config) *Dialer {
	return &Dialer{config: c, table: reach.New(), bad: make(map[names.Host]time.Time)}
}

// Dial implements upstream.Dialer. It fails within upstream.ConnectTimeout. If this daemon
// and all peers that were asked do not reach targets, the error is
// upstream.ErrNoPath: it says nothing about the target. The peers are those in
// upstream.RegionsOf the context.
func (d *Dialer) Dial(ctx context.Context, id names.Target, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstream.ConnectTimeout)
	defer cancel() // ends the attempts that were not faster
	regions := upstream.RegionsOf(ctx)
	a := &attempt{dialer: d, id: id, address: address, results: make(chan result), peers: d.peers(regions), restricted: len(regions) > 0}
	if d.PeerFirst(id) && (len(a.peers) > 0 || d.IsCutOff()) {
		a.nextPeer(ctx)
	} else {
		a.direct(ctx)
	}
	return a.race(ctx)
}

// peers returns the peers to ask, in some regions unless the list is empty: those that could not
// help recently last.
func (d *Dialer) peers(regions []names.Region) []names.Host {
	var all []names.Host
	switch {
	case len(regions) == 0:
		all = d.config.Peers()
	case d.config.PeersIn != nil:
		all = d.config.PeersIn(regions)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var good, bad []names.Host
	for _, peer := range all {
		if now.Sub(d.bad[peer]) < badPeerTime {
			bad = append(bad, peer)
			continue
		}
		good = append(good, peer)
	}
	return append(good, bad...)
}

// Names of counters.
const (
	// countTunnels counts the connections that were opened through peers, and countNoPath
	// those that failed because neither this daemon nor a peer reached targets.
	countTunnels = "target_tunnels"
	countNoPath  = "target_no_path"
)

// changed logs that the daemon is cut off, or no longer.
func (d *Dialer) changed(c reach.Change) {
	switch c {
	case reach.CutOff:
		d.config.Log.Warn("cut off from targets")
		d.config.CutOff()
	case reach.Restored:
		d.config.Log.Info("targets are reached again")
	case reach.Unchanged:
	}
}

// Connected records that this daemon has connected to a target.
func (d *Dialer) Connected(id names.Target) {
	d.mu.Lock()
	change := d.table.Connected(id, time.Now())
	d.mu.Unlock()
	d.changed(change)
}

// Heard records that a target has sent something on a direct connection.
func (d *Dialer) Heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Heard(time.Now())
}

// IsCutOff reports whether this daemon is cut off from all targets, as far as it knows.
func (d *Dialer) IsCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsCutOff()
}

// PeerFirst reports whether a target is reached through peers first.
func (d *Dialer) PeerFirst(id names.Target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.PeerFirst(id)
}

// ReachesTargets reports whether this daemon has reached a target a short time ago.
func (d *Dialer) ReachesTargets() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.ReachesTargets(time.Now())
}

// Detours returns the number of targets that are reached through peers first.
func (d *Dialer) Detours() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Detours()
}

// Sweep drops what is known of targets that are not listed, and of peers.
func (d *Dialer) Sweep(listed func(names.Target) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Sweep(listed)
	for peer, at := range d.bad {
		if now.Sub(at) > badPeerTime {
			delete(d.bad, peer)
		}
	}
}
