// Package watching decides when a daemon calls the source of the published records.
//
// A few daemons, the watchers, watch the source and send heartbeats; the others call it
// only if these are missing. The number of calls thus does not grow with the fleet.
//
// # Load patterns
//
// All daemons lose the heartbeats at the same moment: the watchers have died, or the
// source is unavailable. If each of them then called the source, a fleet of hundreds
// would make hundreds of calls at once, and several hundred a second for as long as the
// source is unavailable. Instead each waits for a random time that grows with the number
// of daemons in the same situation. The first one whose call succeeds becomes a volunteer:
// it watches the source for VolunteerTime, and its heartbeats stop the others.
package watching

import (
	"math/rand/v2"
	"time"
)

// Times of the decisions.
const (
	// HeartbeatTimeout is how long a daemon waits for a heartbeat before it takes
	// the watchers for lost.
	HeartbeatTimeout = time.Second
	// probeAfter is how long a daemon waits for a heartbeat while it hears daemons
	// that cannot reach the source. That is shorter than HeartbeatTimeout: they
	// tell at once that the source refuses them.
	probeAfter = 500 * time.Millisecond
	// leavingTimeout applies instead to a daemon that is shutting down, which gets
	// no heartbeats. It ends within seconds, and learns of changes by gossip.
	leavingTimeout = 4 * time.Second
	// StartTime is how long after its start a daemon that has records waits for
	// heartbeats: it does not know its peers yet.
	StartTime = 2500 * time.Millisecond
	// VolunteerTime is how long a volunteer watches the source.
	VolunteerTime = 3 * time.Second

	// takeOverPerPeer times the number of peers bounds the random wait before a
	// call after heartbeats stopped, up to maxTakeOver. A heartbeat reaches the
	// others within some milliseconds of a successful call.
	takeOverPerPeer = 20 * time.Millisecond
	maxTakeOver     = 1200 * time.Millisecond
	// probePerPeer and maxProbe apply instead while the watchers are alive and
	// cannot reach the source.
	probePerPeer = 100 * time.Millisecond
	maxProbe     = 6 * time.Second

	// minRetry and maxRetry bound the backoff of a watcher after failed calls.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// retryPerPeer times the number of peers bounds the backoff of all other
	// daemons, between maxRetry and maxCrowdRetry.
	retryPerPeer  = 50 * time.Millisecond
	maxCrowdRetry = 3 * time.Second
)

// Situation is what a daemon knows when it decides.
type Situation struct {
	// Watcher is true for a daemon that watches the source for others.
	Watcher bool
	// Leaving is true for a daemon that is shutting down.
	Leaving bool
	// Peers is the number of daemons that lose the same heartbeats, including this
	// one.
	Peers int
	// Age is the time since the daemon started.
	Age time.Duration
	// Empty is true while the daemon has no records.
	Empty bool
	// HeartbeatAge is the time since the last heartbeat of a daemon whose records
	// the source confirmed recently. StaleAge is the time since the last heartbeat
	// of a daemon that cannot reach the source.
	HeartbeatAge, StaleAge time.Duration
	// Lagging is true if records that a peer announced cannot be read from peers.
	Lagging bool
}

// mode is the reason for which a daemon calls the source.
type mode int

const (
	idle      mode = iota // no call is needed
	first                 // there are no records yet
	watch                 // other daemons depend on the calls
	takeOver              // the heartbeats have stopped
	probe                 // the watchers cannot reach the source, this daemon might
	undecided             // before the first decision
)

// Plan decides when one daemon calls the source. It is not safe for concurrent use.
type Plan struct {
	random *rand.Rand
	mode   mode
	peers  int
	// next is the time of the next call in a mode other than idle.
	next           time.Time
	backoff        time.Duration
	volunteerUntil time.Time
}

// New returns a plan that uses the given source of randomness.
func New(random *rand.Rand) *Plan { return &Plan{random: random, mode: undecided} }

// Due reports whether the daemon is to call the source now.
func (p *Plan) Due(s Situation, now time.Time) bool {
	p.peers = max(s.Peers, 1)
	if m := p.modeOf(&s, now); m != p.mode {
		p.enter(m, now)
	}
	return p.mode != idle && !now.Before(p.next)
}

// Wait returns the time until the next call in the situation of the last decision, and
// false if none is planned.
func (p *Plan) Wait(now time.Time) (time.Duration, bool) { return p.next.Sub(now), p.mode != idle }

// Volunteering reports whether the daemon watches the source in place of the watchers.
func (p *Plan) Volunteering(now time.Time) bool { return now.Before(p.volunteerUntil) }

func (p *Plan) modeOf(s *Situation, now time.Time) mode {
	timeout := HeartbeatTimeout
	if s.Leaving {
		timeout = leavingTimeout
	}
	switch {
	case s.Empty:
		return first
	case s.Watcher || p.Volunteering(now):
		return watch
	case s.Lagging:
		return takeOver
	case s.StaleAge <= timeout && s.HeartbeatAge > probeAfter && s.Age >= StartTime && !s.Leaving:
		return probe
	case s.HeartbeatAge <= timeout || s.Age < StartTime:
		return idle
	default:
		return takeOver
	}
}

// enter changes the mode.
func (p *Plan) enter(m mode, now time.Time) {
	p.mode, p.backoff, p.next = m, 0, now
	switch m {
	case takeOver:
		p.next = now.Add(p.below(min(time.Duration(p.peers)*takeOverPerPeer, maxTakeOver)))
	case probe:
		p.next = now.Add(p.below(min(time.Duration(p.peers)*probePerPeer, maxProbe)))
	default:
	}
}

// below returns a random time in [0, limit).
func (p *Plan) below(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

// Succeeded records that a call succeeded. It reports whether the daemon has become a
// volunteer by it.
func (p *Plan) Succeeded(now time.Time) bool {
	became := p.mode == takeOver || p.mode == probe
	if became {
		p.volunteerUntil = now.Add(VolunteerTime)
		p.mode = watch
	}
	p.backoff, p.next = 0, now
	return became
}

// Failed records that a call failed.
func (p *Plan) Failed(now time.Time) {
	p.volunteerUntil = time.Time{}
	if p.mode == probe {
		p.next = now.Add(maxRetry + p.below(min(time.Duration(p.peers)*probePerPeer, maxProbe)))
		return
	}
	limit := maxRetry
	if p.mode != watch {
		limit = min(max(time.Duration(p.peers)*retryPerPeer, maxRetry), maxCrowdRetry)
	}
	p.backoff = min(max(2*p.backoff, minRetry), limit)
	p.next = now.Add(p.backoff/2 + p.below(p.backoff))
}
