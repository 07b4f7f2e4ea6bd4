package upstream

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
)

// maxIdle bounds the idle connections to one target.
const maxIdle = 16

// idleShare is the part of a target's connections that may idle; the rest is
// left to requests under way.
const idleShare = 0.5

// IdleShare returns how many connections to a target one of several daemons may
// keep idle, if the target takes most from all of them; zero is no bound.
func IdleShare(most, daemons int) int {
	if most <= 0 {
		return maxIdle
	}
	return min(max(int(idleShare*float64(most))/max(daemons, 1), 1), maxIdle)
}

// Pool keeps idle connections by target. It is safe for concurrent use.
type Pool struct {
	// MostIdle bounds the idle connections to a target; nil means maxIdle.
	MostIdle func(names.Target) int

	mu   sync.Mutex
	idle map[names.Target][]*Conn
	// opened counts connections, for metrics.
	opened int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[names.Target][]*Conn)} }

// Opened returns how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns a connection to a target and whether it was idle before.
func (p *Pool) get(ctx context.Context, id names.Target, address string, fresh bool) (*Conn, bool, error) {
	for !fresh {
		conn := p.take(id)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			return conn, true, nil
		}
		_ = conn.Close() // it is of no use any more
	}
	conn, err := dial(ctx, address)
	if err == nil {
		p.mu.Lock()
		p.opened++
		p.mu.Unlock()
	}
	return conn, false, err
}

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

func (p *Pool) put(id names.Target, conn *Conn) {
	most := maxIdle
	if p.MostIdle != nil {
		most = p.MostIdle(id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= most {
		_ = conn.Close() // enough are idle
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// Sweep closes idle connections past their time, and all to targets that are
// not to be kept.
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
			_ = conn.Close() // it is of no use any more
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}
