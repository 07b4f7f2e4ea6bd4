package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/paths"
)

// dialDirect returns the dialer of this host's own connections to targets.
func (d *Daemon) dialDirect() upstream.Dialer {
	if d.DialTarget != nil {
		return d.DialTarget
	}
	return upstream.DialTCP
}

// buildPaths builds the ways by which this daemon reaches targets.
func (d *Daemon) buildPaths() {
	d.paths = paths.New(paths.Config{
		Direct: d.dialDirect(), Through: d.dialThrough, Peers: d.tunnelPeers, PeersIn: d.tunnelPeersIn,
		CutOff: d.targetPool.CloseAllIdle, Count: func(name string) { d.metrics.counters.Add(name, 1) }, Log: d.Log,
	})
	d.targetPool.MaxIdle, d.targetPool.Dial, d.targetPool.Heard = d.maxIdleConns, d.paths.Dial, d.paths.Heard
}

// dialThrough opens a connection to a target through a peer.
func (d *Daemon) dialThrough(ctx context.Context, peer names.Host, id names.Target, address string) (net.Conn, error) {
	conn, err := (&tunnel.Client{Pool: d.peerPool}).Dial(ctx, peer, id, address)
	if err != nil {
		return nil, err // a nil *tunnel.Conn is no nil net.Conn
	}
	return conn, nil
}

// tunnelPeers returns the live peers that may pass connections on, in random order: those of
// this data centre first, since bytes between data centres are dear.
func (d *Daemon) tunnelPeers() []names.Host {
	return d.selectTunnelPeers(func(names.DataCentre) bool { return true })
}

// tunnelPeersIn is tunnelPeers for the peers in some regions. One whose region is unknown is in
// none.
func (d *Daemon) tunnelPeersIn(regions []names.Region) []names.Host {
	return d.selectTunnelPeers(func(dc names.DataCentre) bool {
		region := d.regionOf(dc)
		return region != "" && slices.Contains(regions, region)
	})
}

func (d *Daemon) selectTunnelPeers(allowed func(names.DataCentre) bool) []names.Host {
	var near, far []names.Host
	for _, m := range d.members.Live() {
		switch {
		case m.Host == d.self || m.Draining || m.State != core.Alive || !allowed(m.DataCentre):
		case m.DataCentre == d.Settings.DataCentre:
			near = append(near, m.Host)
		default:
			far = append(far, m.Host)
		}
	}
	for _, list := range [][]names.Host{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(near, far...)
}

// randomTargets returns up to count random targets with their addresses.
func (d *Daemon) randomTargets(count int) map[names.Target]string {
	return d.randomOthers(count, "")
}

// randomOthers is randomTargets without one target. Targets in evacuated data centres are not
// connected to without need.
func (d *Daemon) randomOthers(count int, without names.Target) map[names.Target]string {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	all := slices.DeleteFunc(openTargets(view), func(t *replicas.Target) bool { return t.ID == without })
	picked := make(map[names.Target]string)
	for range min(count, len(all)) {
		target := all[rand.IntN(len(all))]
		picked[target.ID] = target.Address
	}
	return picked
}

// targetAddress returns the address of a listed target, and whether it is listed and not in an
// evacuated data centre.
func (d *Daemon) targetAddress(id names.Target) (string, bool) {
	target, ok := d.listedTarget(id)
	return target.Address, ok && !d.evacuated(target.DataCentre)
}

// gate decides on the connections that peers ask for. It implements tunnel.Gate.
type gate struct{ *Daemon }

// Admit implements tunnel.Gate.
func (g gate) Admit(id names.Target, address string) peerpb.TunnelDown_Status {
	target, ok := g.listedTarget(id)
	switch {
	case g.stopping():
		return peerpb.TunnelDown_STATUS_BUSY
	case g.paths.IsCutOff():
		return peerpb.TunnelDown_STATUS_CUT_OFF
	case !ok || target.Address != address:
		return peerpb.TunnelDown_STATUS_UNKNOWN_TARGET
	case g.board.MayPassOn(id) != nil:
		return peerpb.TunnelDown_STATUS_UNWANTED
	default:
		return peerpb.TunnelDown_STATUS_OPEN
	}
}

// Evacuated implements tunnel.Gate.
func (g gate) Evacuated(id names.Target) bool {
	target, ok := g.listedTarget(id)
	return ok && g.evacuated(target.DataCentre)
}

const (
	// confirmTimeout bounds the connections that show whether this host reaches targets.
	confirmTimeout = 100 * time.Millisecond
	// confirmTargets is the number of targets to which they are opened.
	confirmTargets = 3
)

// ReachesTargets implements tunnel.Gate. It connects to other targets now: a cut may have
// begun since the last connection. If no other target is listed, a recent connection counts.
func (g gate) ReachesTargets(ctx context.Context, other names.Target) bool {
	if ctx.Err() != nil {
		return false // the peer has gone, which may have ended the connection
	}
	targets := g.randomOthers(confirmTargets, other)
	if len(targets) == 0 {
		return g.paths.ReachesTargets()
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	reached := make(chan bool, len(targets))
	for id, address := range targets {
		go func() { reached <- g.connects(ctx, id, address) }()
	}
	for range len(targets) {
		if <-reached {
			return true
		}
	}
	return false
}

// connects reports whether this host connects to a target.
func (g gate) connects(ctx context.Context, id names.Target, address string) bool {
	conn, err := g.dialDirect()(ctx, id, address)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	g.paths.Connected(id)
	return true
}

// Connected implements tunnel.Gate.
func (g gate) Connected(id names.Target) { g.paths.Connected(id) }

// Unreachable implements tunnel.Gate.
func (g gate) Unreachable(id names.Target) { g.board.RecordUnreachable(id) }

// Observe implements tunnel.Gate.
func (g gate) Observe(id names.Target, head *http.Response, sentAt time.Time) {
	if reply := g.Codec.ParseReply(head); !reply.WrongTarget {
		g.board.RecordPassedOn(id, reply.Statement, sentAt)
	}
}

// awaitTunnels waits until no peer uses a connection of this daemon, or until ctx ends.
func (d *Daemon) awaitTunnels(ctx context.Context) {
	const interval = 20 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for d.tunnels.InUse() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
