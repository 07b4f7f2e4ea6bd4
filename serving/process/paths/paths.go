// Package paths connects a daemon to targets: directly, or through a peer if the daemon
// does not reach them, see core/process/reach.
package paths

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/reach"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
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

// result is the end of an attempt to connect.
type result struct {
	conn net.Conn
	err  error
	// peer is the peer that was asked, empty for a direct connection.
	peer names.Host
}

// Dial implements upstream.Dialer. It fails within upstream.ConnectTimeout. If this daemon
// and all peers that were asked do not reach targets, the error is
// upstream.ErrNoPath: it says nothing about the target.
func (d *Dialer) Dial(ctx context.Context, id names.Target, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, upstream.ConnectTimeout)
	defer cancel() // ends the attempts that were not faster
	a := &attempt{dialer: d, id: id, address: address, results: make(chan result), peers: d.peers()}
	if d.PeerFirst(id) {
		a.nextPeer(ctx)
	} else {
		a.direct(ctx)
	}
	return a.race(ctx)
}

// peers returns the peers to ask: those that could not help recently last.
func (d *Dialer) peers() []names.Host {
	all := d.config.Peers()
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

// attempt is a race of connections to one target. Its fields are used by race alone.
type attempt struct {
	dialer  *Dialer
	id      names.Target
	address string
	results chan result
	peers   []names.Host
	// pending is the number of connections that are being opened.
	pending int
	asked   int
	// triedDirect is true once a direct connection was begun, and directErr is its error.
	triedDirect bool
	directErr   error
	// downErr is the error of a peer that vouches that the target is down.
	downErr error
}

// start opens a connection beside the others. The loser of the race closes it.
func (a *attempt) start(ctx context.Context, peer names.Host, dial func() (net.Conn, error)) {
	a.pending++
	go func() {
		conn, err := dial()
		select {
		case a.results <- result{conn: conn, err: err, peer: peer}:
		case <-ctx.Done():
			if err == nil {
				_ = conn.Close() // another connection is used
			}
		}
	}()
}

func (a *attempt) direct(ctx context.Context) {
	a.triedDirect = true
	a.start(ctx, "", func() (net.Conn, error) { return a.dialer.config.Direct(ctx, a.id, a.address) })
}

// nextPeer asks another peer, if there is one.
func (a *attempt) nextPeer(ctx context.Context) {
	if a.asked >= len(a.peers) || a.asked >= maxPeers {
		return
	}
	peer := a.peers[a.asked]
	a.asked++
	a.start(ctx, peer, func() (net.Conn, error) { return a.dialer.config.Through(ctx, peer, a.id, a.address) })
}

// race returns the first connection that opens, and begins others while none does.
func (a *attempt) race(ctx context.Context) (net.Conn, error) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for a.pending > 0 {
		select {
		case r := <-a.results:
			a.pending--
			if r.err == nil {
				a.won(r.peer)
				return r.conn, nil
			}
			a.lost(&r)
			if a.downErr != nil && (a.directErr != nil || !a.triedDirect) {
				return nil, a.failure(ctx)
			}
			a.more(ctx)
		case <-timer.C:
			a.more(ctx)
			timer.Reset(peerDelay)
		case <-ctx.Done():
			return nil, a.failure(ctx)
		}
	}
	return nil, a.failure(ctx)
}

// more begins the next connection: through a peer, and directly if none is left. It does
// nothing once a peer vouches that the target is down.
func (a *attempt) more(ctx context.Context) {
	if a.downErr != nil {
		return
	}
	before := a.asked
	a.nextPeer(ctx)
	if !a.triedDirect && (a.asked == before || a.asked > 1) {
		a.direct(ctx)
	}
}

// won records the way by which the target was reached.
func (a *attempt) won(peer names.Host) {
	d := a.dialer
	if peer == "" {
		d.Connected(a.id)
		return
	}
	d.config.Count(countTunnels)
	if !a.triedDirect {
		return
	}
	d.mu.Lock()
	isNew := !d.table.PeerFirst(a.id)
	change := d.table.Detoured(a.id, time.Now())
	d.mu.Unlock()
	if isNew {
		d.config.Log.Info("target reached through a peer", zap.String("target", string(a.id)), zap.String("peer", string(peer)), errorField(a.directErr))
	}
	d.changed(change)
}

// errorField returns the log field of the error of a direct connection, which is nil while
// it hangs.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// lost records a connection that failed.
func (a *attempt) lost(r *result) {
	if r.peer == "" {
		a.directErr = r.err
		return
	}
	var refused *tunnel.Error
	if errors.As(r.err, &refused) && refused.TargetDown() {
		a.downErr = r.err
		return
	}
	a.dialer.mu.Lock()
	defer a.dialer.mu.Unlock()
	a.dialer.bad[r.peer] = time.Now()
}

// failure returns the error of a target that was not reached by any way.
func (a *attempt) failure(ctx context.Context) error {
	switch {
	case a.downErr != nil:
		return a.downErr
	case len(a.peers) == 0 && a.directErr != nil:
		return a.directErr
	case a.dialer.IsCutOff():
		a.dialer.config.Count(countNoPath)
		return errors.Wrap(upstream.ErrNoPath, "neither this daemon nor a peer reaches targets")
	case a.directErr != nil:
		return errors.Wrap(opaque{a.directErr}, "no peer can tell whether the target is down")
	default:
		return errors.WithStack(ctx.Err())
	}
}

// opaque hides the kind of an error: a refused connection is no proof that a target is down
// if this daemon may be cut off.
type opaque struct{ cause error }

// Error implements error.
func (o opaque) Error() string { return o.cause.Error() }

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

// checkTargets is the number of targets to which a check connects.
const checkTargets = 2

// Watch notices the begin and the end of a cut until ctx ends. quiet returns how long
// nothing has come from any target while answers are pending on direct connections, zero if
// none is. random returns up to a number of random listed targets with their addresses, and
// address that of a listed target.
func (d *Dialer) Watch(ctx context.Context, quiet func() time.Duration, random func(int) map[names.Target]string, address func(names.Target) (string, bool)) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for probed := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		due := d.table.CheckDue(quiet(), time.Now())
		var probes []names.Target
		if time.Since(probed) >= reach.ProbeInterval {
			probes, probed = d.table.Probes(source), time.Now()
		}
		d.mu.Unlock()
		if due {
			for id, at := range random(checkTargets) {
				go d.check(ctx, id, at)
			}
		}
		for _, id := range probes {
			if at, ok := address(id); ok {
				go d.probe(ctx, id, at)
			}
		}
	}
}

// check connects to a target as a request would, which shows by which way it is reached.
func (d *Dialer) check(ctx context.Context, id names.Target, address string) {
	if conn, err := d.Dial(ctx, id, address); err == nil {
		_ = conn.Close() // nothing was sent
	}
}

// probe connects to a target directly, which ends its detour.
func (d *Dialer) probe(ctx context.Context, id names.Target, address string) {
	conn, err := d.config.Direct(ctx, id, address)
	if err != nil {
		return // the detour goes on
	}
	_ = conn.Close() // nothing was sent
	d.Connected(id)
}
