package upstream

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
)

// maxIdlePerTarget bounds the number of idle connections to a target.
const maxIdlePerTarget = 16

// idleFraction is the fraction of the connections to a target that may be idle.
// The rest is left to requests in flight.
const idleFraction = 0.5

// MaxIdlePerDaemon returns the maximum number of idle connections that each of
// several daemons may keep to a target. limit is the number of connections that
// the target accepts from all daemons; zero means no limit.
func MaxIdlePerDaemon(limit, daemons int) int {
	if limit <= 0 {
		return maxIdlePerTarget
	}
	return min(max(int(idleFraction*float64(limit))/max(daemons, 1), 1), maxIdlePerTarget)
}

// Pool holds the idle connections to each target. It is safe for concurrent
// use.
type Pool struct {
	// MaxIdle returns the maximum number of idle connections to a target, zero if
	// none is to be kept.
	// If it is nil, maxIdlePerTarget applies.
	MaxIdle func(names.Target) int
	// Dial opens connections. If it is nil, DialTCP does.
	Dial Dialer
	// Heard is called when a target has sent something on a direct connection. It may be
	// nil.
	Heard func()
	quiet quietClock

	mu   sync.Mutex
	idle map[names.Target][]*Conn
	// opened is the number of connections opened, for metrics.
	opened int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[names.Target][]*Conn)} }

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns a connection to a target, and whether it is a reused one. If
// fresh is set, it always opens a new one.
func (p *Pool) get(ctx context.Context, id names.Target, address string, fresh bool) (*Conn, bool, error) {
	for !fresh {
		conn := p.take(id)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			return conn, true, nil
		}
		_ = conn.Close() // it can no longer be used
	}
	dial := p.Dial
	if dial == nil {
		dial = DialTCP
	}
	raw, err := dial(ctx, id, address)
	if err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return p.newConn(raw), false, nil
}

// take removes and returns the idle connection to a target that was used last,
// or nil.
func (p *Pool) take(id names.Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[id] = list[:len(list)-1]
	return conn
}

// put stores an idle connection, or closes it if the limit is reached.
func (p *Pool) put(id names.Target, conn *Conn) {
	limit := maxIdlePerTarget
	if p.MaxIdle != nil {
		limit = p.MaxIdle(id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= limit {
		_ = conn.Close() // the limit of idle connections is reached
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(id names.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[id] {
		_ = conn.Close() // no request is in flight on it
	}
	delete(p.idle, id)
}

// CloseAllIdle closes the idle connections to all targets.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, conn := range list {
			_ = conn.Close() // no request is in flight on it
		}
	}
	clear(p.idle)
}

// heard records that a target has sent something on a direct connection.
func (p *Pool) heard() {
	p.quiet.heard()
	if p.Heard != nil {
		p.Heard()
	}
}

// Quiet returns how long nothing has come from any target while answers are pending on
// direct connections; zero if none is.
func (p *Pool) Quiet() time.Duration { return p.quiet.quiet() }

// Sweep closes the idle connections that have expired, and all those to targets
// for which keep returns false.
func (p *Pool) Sweep(keep func(names.Target) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if keep(id) && now.Before(conn.idleUntil) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // it has expired or its target is not kept
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}
