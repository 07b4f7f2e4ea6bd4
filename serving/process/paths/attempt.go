package paths

import (
	"context"
	"net"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// result is the end of an attempt to connect.
type result struct {
	conn net.Conn
	err  error
	// peer is the peer that was asked, empty for a direct connection.
	peer names.Host
}

// attempt is a race of connections to one target. Its fields are used by race alone.
type attempt struct {
	dialer  *Dialer
	id      names.Target
	address string
	results chan result
	peers   []names.Host
	// restricted is true if peers outside some regions must not be asked.
	restricted bool
	// pending is the number of connections that are being opened.
	pending int
	asked   int
	// triedDirect is true once a direct connection was begun, and directErr is its error.
	triedDirect bool
	directErr   error
	// downErr is the error of a peer that confirms that the target is down.
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
// nothing once a peer confirms that the target is down.
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
	case len(a.peers) == 0 && !a.restricted && a.directErr != nil:
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
