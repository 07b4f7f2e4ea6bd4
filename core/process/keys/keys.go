// Package keys decides whether a daemon may run a non-idempotent call that
// came with nothing but a key of its caller's.
//
// A key has a home: the daemon that a choice function (rendezvous hashing)
// takes from the live members. The home remembers the keys that it ran for a
// window. A home that has just started, or to which the key has just moved,
// does not know what an earlier home ran; it refuses until it has been the
// home of the key without interruption for SettleAfter, in every view that it
// had, each with a majority of the expected daemons. SettleAfter is longer than
// the window, since the earlier home may go on for a while before it hears that
// the key has moved.
//
// The promise: of the sends of a key that its caller makes within ResendWithin
// of the first, at most one runs, as long as no two daemons hold contradictory
// views, each with a majority, for longer than MaxDisagreement, and as long as
// the network delays no send by more than MaxDelay. A daemon that was paused
// for longer than MaxPause treats the pause as an interruption, both as a home
// and when it passes a send on: what waited in its buffers meanwhile is of
// unknown age.
//
// What stays open: daemons that disagree about the members for longer, which an
// asymmetric partition can cause; a send that the network delivers later; and a
// resend after the window, which runs again. A ticket has none of these gaps,
// since it carries its own expiry.
//
// Times are durations since the daemon's start on its monotonic clock. Homes
// is not safe for concurrent use.
package keys

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

const (
	// Window is how long a home remembers a key.
	Window = ResendWithin + MaxDelay + 2*MaxPause
	// SettleAfter is how long a daemon must have been a key's home before it
	// runs it.
	SettleAfter = Window + MaxDisagreement
	// ResendWithin is how long after its first send a caller may resend.
	ResendWithin = 5 * time.Minute
	// MaxDelay is the longest delay of a send in the network that the window
	// covers.
	MaxDelay = 3 * time.Minute
	// MaxPause is the longest pause of a daemon that the window covers, once
	// where a send enters and once at its home.
	MaxPause = time.Minute
	// MaxDisagreement is how long two daemons may disagree about the members.
	MaxDisagreement = 5 * time.Minute
	// MaxViews is the most views that are remembered. If the members change
	// more often within SettleAfter, no key is settled.
	MaxViews = 256
)

// Choose returns the home of a key among members, which are never empty. It
// must be the same function on each daemon.
type Choose func(key names.Digest, members []names.Host) names.Host

// Homes is one daemon's history of views of the members.
type Homes struct {
	self     names.Host
	settle   time.Duration
	choose   Choose
	expected int
	views    []view
	// unknownUntil is when what the daemon does not know of no longer counts.
	unknownUntil time.Duration
	// alive is when the daemon last was seen to run.
	alive time.Duration
	// pausedUntil is when the last pause no longer counts.
	pausedUntil time.Duration
}

// view is what the daemon took for the live members from since on.
type view struct {
	since   time.Duration
	members []names.Host
}

// New returns the history of a daemon that starts now, at time zero, and
// knows no members. It settles keys after the time given, SettleAfter.
func New(self names.Host, settle time.Duration, choose Choose) *Homes {
	return &Homes{self: self, settle: settle, choose: choose, unknownUntil: settle}
}

// SetExpected sets how many daemons the manifest expects.
func (h *Homes) SetExpected(daemons int) { h.expected = daemons }

// Observe records the live members, this daemon included, from now on. A
// member that restarts keeps the place of its host: its keys stay with it, and
// it refuses them for SettleAfter since its own start.
func (h *Homes) Observe(members []names.Host, now time.Duration) {
	h.Alive(now)
	h.trim(now)
	sorted := slices.Sorted(slices.Values(members))
	if len(h.views) == 0 {
		h.unknownUntil = now + h.settle
	} else if slices.Equal(h.views[len(h.views)-1].members, sorted) {
		return
	}
	h.views = append(h.views, view{since: now, members: sorted})
	if len(h.views) > MaxViews {
		h.drop(now)
	}
}

// Alive records that the daemon runs. It is to be called every few seconds; a
// longer silence than MaxPause is taken for a pause.
func (h *Homes) Alive(now time.Duration) {
	if now-h.alive > MaxPause {
		h.unknownUntil = max(h.unknownUntil, now+h.settle)
		h.pausedUntil = now + h.settle
	}
	h.alive = max(h.alive, now)
}

// Place says where the home of a key is.
type Place struct {
	// Home is the key's home in the present view; empty if there is none.
	Home names.Host
	// Settled says that this daemon is the home and may run the key.
	Settled bool
	// SettledIn is how long this daemon has to stay the home before it may,
	// if the members stay as they are.
	SettledIn time.Duration
	// Paused says that this daemon was paused of late, and passes
	// no sends on.
	Paused bool
}

// Find returns the place of a key.
func (h *Homes) Find(key names.Digest, now time.Duration) Place {
	h.Alive(now)
	h.trim(now)
	if len(h.views) == 0 {
		return Place{SettledIn: h.settle}
	}
	newest := h.views[len(h.views)-1]
	if len(newest.members) == 0 {
		return Place{SettledIn: h.settle}
	}
	p := Place{Home: h.choose(key, newest.members), Paused: now < h.pausedUntil}
	p.SettledIn = max(0, h.settledAt(key, now)-now)
	p.Settled = p.Home == h.self && p.SettledIn == 0
	return p
}

// settledAt returns when SettleAfter has passed since the last moment at which
// this daemon was not the settled home of the key.
func (h *Homes) settledAt(key names.Digest, now time.Duration) time.Duration {
	at := h.unknownUntil
	for i, v := range h.views {
		if h.isHome(key, v.members) {
			continue
		}
		end := now
		if i+1 < len(h.views) {
			end = h.views[i+1].since
		}
		at = max(at, end+h.settle)
	}
	return at
}

func (h *Homes) isHome(key names.Digest, members []names.Host) bool {
	if h.expected <= 0 || 2*len(members) <= h.expected {
		return false
	}
	return h.choose(key, members) == h.self
}

// trim drops views that ended too long ago to count.
func (h *Homes) trim(now time.Duration) {
	keep := 0
	for keep+1 < len(h.views) && h.views[keep+1].since+h.settle < now {
		keep++
	}
	h.views = h.views[keep:]
}

// drop forgets the oldest view, and with it what was known of its time.
func (h *Homes) drop(now time.Duration) {
	h.unknownUntil = max(h.unknownUntil, min(now, h.views[1].since)+h.settle)
	h.views = h.views[1:]
}
