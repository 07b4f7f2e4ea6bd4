// Package watching decides when a daemon calls the source of the published records.
//
// A few daemons, the watchers, watch the source and send heartbeats; the others call it
// only if these are missing. The number of calls thus does not grow with the fleet.
//
// # Evidence
//
// A heartbeat holds the moment as of which the source last confirmed the records, see
// ConfirmedAt. It is that moment, not the arrival of a heartbeat, that decides: a watcher
// whose open call hangs is alive and knows nothing new, and what daemons tell each other
// adds nothing to what the source said. A daemon calls the source before its records have
// been unconfirmed for MaxUnconfirmed and a random wait of at most maxTakeOver, so that the
// call ends, and peers read from this daemon, within ApplyTime of the last confirmation.
//
// # Load patterns
//
// The records of all daemons are unconfirmed at the same moment: the watchers have died or
// are cut off, or the source is unavailable. If each of them then called the source, a fleet of hundreds
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
	// ApplyTime is the shortest time, over the deployments served, within which a
	// change must be in force everywhere.
	ApplyTime = 2 * time.Second
	// WatchTime bounds the wait of one watch. The records of a daemon that depends on a
	// single watcher are confirmed once in WatchTime.
	WatchTime = 600 * time.Millisecond
	// minWatchTime is the shortest wait of a watch, a call that only asks for changes.
	minWatchTime = time.Millisecond
	// MaxUnconfirmed is how long a daemon relies on the watchers after the last
	// confirmation: a WatchTime and the way of a heartbeat through a relay.
	MaxUnconfirmed = time.Second
	// HeartbeatTimeout is how long a heartbeat counts.
	HeartbeatTimeout = time.Second
	// probeAfter is how long a daemon waits for a heartbeat while it hears daemons
	// that cannot reach the source. That is shorter than MaxUnconfirmed: they
	// tell at once that the source refuses them.
	probeAfter = 500 * time.Millisecond
	// leavingTimeout applies in place of MaxUnconfirmed to a daemon that is shutting
	// down, which gets no heartbeats. Few callers are left there: it waits for gossip to
	// tell of changes as long as ApplyTime allows.
	leavingTimeout = 1400 * time.Millisecond
	// StartTime is how long after its start a daemon that has records waits for
	// heartbeats: it does not know its peers yet.
	StartTime = 2500 * time.Millisecond
	// VolunteerTime is how long a volunteer watches the source.
	VolunteerTime = 3 * time.Second

	// takeOverPerPeer times the number of peers bounds the random wait before a
	// call after heartbeats stopped, up to maxTakeOver. A heartbeat reaches the
	// others within some milliseconds of a successful call.
	takeOverPerPeer = 20 * time.Millisecond
	maxTakeOver     = 500 * time.Millisecond
	// probePerPeer and maxProbe apply instead while the watchers are alive and
	// cannot reach the source.
	probePerPeer = 100 * time.Millisecond
	maxProbe     = 6 * time.Second

	// minRetry and maxRetry bound the backoff of a watcher after failed calls.
	minRetry = 50 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// minCrowdRetry is the first backoff of all other daemons. retryPerPeer times the
	// number of peers bounds it, between maxRetry and maxCrowdRetry.
	minCrowdRetry = 100 * time.Millisecond
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
	// ConfirmedAge is the time since the moment as of which the source last confirmed
	// the records, by an answer to this daemon or to one that it has heard from.
	ConfirmedAge time.Duration
	// HeartbeatAge is the time since the last heartbeat of a daemon whose records
	// the source confirmed within MaxUnconfirmed. StaleAge is the time since the last
	// heartbeat of a daemon that cannot reach the source.
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
	takeOver              // the records have been unconfirmed for too long
	probe                 // the watchers cannot reach the source, this daemon might
	undecided             // before the first decision
)

// Plan decides when one daemon calls the source. It is not safe for concurrent use.
type Plan struct {
	random *rand.Rand
	mode   mode
	peers  int
	// leaving is true while the daemon is shutting down, and refused while it hears
	// daemons that cannot reach the source.
	leaving, refused bool
	// next is the time of the next call in a mode other than idle.
	next           time.Time
	backoff        time.Duration
	volunteerUntil time.Time
}

// New returns a plan that uses the given source of randomness.
func New(random *rand.Rand) *Plan { return &Plan{random: random, mode: undecided} }

// Due reports whether the daemon is to call the source now.
func (p *Plan) Due(s Situation, now time.Time) bool {
	p.peers, p.leaving, p.refused = max(s.Peers, 1), s.Leaving, s.StaleAge <= HeartbeatTimeout
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

// maxUnconfirmed returns how long the daemon relies on others after a confirmation.
func (s *Situation) maxUnconfirmed() time.Duration {
	if s.Leaving {
		return leavingTimeout
	}
	return MaxUnconfirmed
}

func (p *Plan) modeOf(s *Situation, now time.Time) mode {
	switch {
	case s.Empty:
		return first
	case s.Watcher || p.Volunteering(now):
		return watch
	case s.Lagging:
		return takeOver
	case s.Age < StartTime:
		return idle
	case s.ConfirmedAge > s.maxUnconfirmed():
		return takeOver
	case p.refused && s.HeartbeatAge > probeAfter && !s.Leaving:
		return probe
	default:
		return idle
	}
}

// enter changes the mode. A call that is planned already is not put off by a change
// between takeOver and probe, both of which last for as long as the watchers are lost.
func (p *Plan) enter(m mode, now time.Time) {
	planned, pending := p.next, (p.mode == takeOver || p.mode == probe) && (m == takeOver || m == probe)
	if !pending {
		p.backoff = 0
	}
	p.mode, p.next = m, now
	switch m {
	case takeOver:
		p.next = now.Add(p.below(min(time.Duration(p.peers)*takeOverPerPeer, maxTakeOver)))
	case probe:
		p.next = now.Add(p.below(min(time.Duration(p.peers)*probePerPeer, maxProbe)))
	default:
	}
	if pending && planned.Before(p.next) {
		p.next = planned
	}
}

// below returns a random time in [0, limit).
func (p *Plan) below(limit time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(limit)))
}

// Succeeded records that a call succeeded. It reports whether the daemon has become a
// volunteer by it. One that is shutting down does not.
func (p *Plan) Succeeded(now time.Time) bool {
	became := (p.mode == takeOver || p.mode == probe) && !p.leaving
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
	if p.mode == probe || p.mode == takeOver && p.refused {
		p.next = now.Add(maxRetry + p.below(min(time.Duration(p.peers)*probePerPeer, maxProbe)))
		return
	}
	least, limit := minRetry, maxRetry
	if p.mode != watch {
		least, limit = minCrowdRetry, min(max(time.Duration(p.peers)*retryPerPeer, maxRetry), maxCrowdRetry)
	}
	p.backoff = min(max(2*p.backoff, least), limit)
	p.next = now.Add(p.backoff/2 + p.below(p.backoff))
}

// ConfirmedAt returns the moment as of which an answer shows that the records are complete.
// sent is when the call was made and wait how long it let the source wait for changes; an
// answer without changes was made no earlier than the end of that wait. The time at which
// an answer arrives shows nothing, since it may have been held up on its way.
func ConfirmedAt(sent time.Time, wait time.Duration, changed bool, now time.Time) time.Time {
	if changed {
		return sent
	}
	if ended := sent.Add(wait); ended.Before(now) {
		return ended
	}
	return now
}

// WatchTimeFor returns how long the next watch waits for changes if the records were last
// confirmed confirmedAge ago: for what is left of WatchTime. The first call after the
// records have been unconfirmed for too long does not wait, so that the others hear of its
// success before they call, too.
func WatchTimeFor(confirmedAge time.Duration) time.Duration {
	return min(max(WatchTime-confirmedAge, minWatchTime), WatchTime)
}
