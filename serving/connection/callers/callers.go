// Package callers bounds what the connections that a daemon accepts make it hold: their
// number, the heads and bodies of unfinished requests, and the bytes that wait in the
// buffers of their sockets.
//
// A Listener hands out connections whose bytes are counted before net/http parses them. A
// Guard holds the account of all listeners (core/process/memory) and ends the connections
// that give way. A connection whose request is being served is never ended for memory.
package callers

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/process/memory"
)

// Counts are the connections and requests that were given up since the start, by cause.
type Counts struct {
	// ClosedMemory are the connections that were closed since memory was short,
	// ClosedHead those whose head was over the limit, and ClosedConnections those that
	// were closed or not taken since there were too many.
	ClosedMemory, ClosedHead, ClosedConnections uint64
	// RefusedMemory are the requests that were answered with 503 since memory was short.
	RefusedMemory uint64
}

// Guard bounds the memory of the connections of a process. It is safe for concurrent use.
type Guard struct {
	// mu guards account, conns and lastID.
	mu      sync.Mutex
	account *memory.Account
	conns   map[memory.ID]*Conn
	lastID  memory.ID

	closedMemory, closedHead, closedConnections, refusedMemory atomic.Uint64
}

// NewGuard returns a Guard with the bounds of a configuration.
func NewGuard(c memory.Config) *Guard {
	return &Guard{account: memory.New(c), conns: make(map[memory.ID]*Conn)}
}

// Counts returns what was given up so far.
func (g *Guard) Counts() Counts {
	return Counts{
		ClosedMemory: g.closedMemory.Load(), ClosedHead: g.closedHead.Load(),
		ClosedConnections: g.closedConnections.Load(), RefusedMemory: g.refusedMemory.Load(),
	}
}

// Usage returns the bytes in use by class, and their limit.
func (g *Guard) Usage() (used map[memory.Class]int64, limit int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	used = make(map[memory.Class]int64)
	for _, class := range memory.Classes() {
		used[class] = g.account.Used(class)
	}
	return used, g.account.Limit()
}

// Connections returns the number of open connections of a group.
func (g *Guard) Connections(group memory.Group) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Count(group)
}

// cause is why a connection gives way.
type cause uint8

const (
	memoryUsed cause = iota
	connectionsUsed
)

// decide asks the account, and ends the connections that give way.
func (g *Guard) decide(why cause, ask func(*memory.Account) memory.Decision) bool {
	g.mu.Lock()
	decision := ask(g.account)
	var ended []*Conn
	for _, id := range decision.Evicted {
		if conn := g.conns[id]; conn != nil {
			ended = append(ended, conn)
		}
	}
	g.mu.Unlock()
	for _, conn := range ended {
		conn.evict(why)
	}
	return decision.Granted
}

// GrowAnswers adds bytes of answers that are kept for callers, and reports whether there is
// room for them. Negative bytes release them.
func (g *Guard) GrowAnswers(bytes int64) bool {
	return g.decide(memoryUsed, func(a *memory.Account) memory.Decision {
		if bytes <= 0 {
			a.ShrinkAnswers(-bytes)
			return memory.Decision{Granted: true}
		}
		return a.GrowAnswers(bytes, time.Now())
	})
}

// AnswerUnread counts a connection that is closed since its caller does not read an answer and
// memory for others is short.
func (g *Guard) AnswerUnread() { g.closedMemory.Add(1) }

// add takes a connection, and reports whether there is room for it.
func (g *Guard) add(conn *Conn, o *Options) bool {
	return g.decide(connectionsUsed, func(a *memory.Account) memory.Decision {
		g.lastID++
		decision := a.Open(g.lastID, o.Group, o.ConnectionBytes, o.Connections, time.Now())
		if decision.Granted {
			conn.id = g.lastID
			g.conns[conn.id] = conn
		}
		return decision
	})
}

func (g *Guard) remove(id memory.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Close(id)
	delete(g.conns, id)
}

// spare ends a connection of a group, since the process has no descriptor left.
func (g *Guard) spare(group memory.Group) {
	g.decide(connectionsUsed, func(a *memory.Account) memory.Decision { return a.Spare(group, time.Now()) })
}

// StateChanged is the http.Server.ConnState of a server of a Listener.
func StateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.phase.Store(phaseHead)
	case http.StateActive:
		c.phase.Store(phaseRequest)
	case http.StateIdle:
		c.Release()
		c.head.reset()
		c.phase.Store(phaseHead)
	default:
	}
}
