// Package keys decides whether a daemon may run a non-idempotent call that has
// only an idempotency key of its caller and no ticket.
//
// Each key has a home: the daemon that a choice function (rendezvous hashing)
// selects from the live members. The home remembers the keys that it ran for a
// window. A home that has just started, or to which the key has just moved, does
// not know what an earlier home ran. It refuses the key until it has been the home
// without interruption for SettleAfter, in every view that it had, each with a
// majority of the expected daemons. SettleAfter is longer than the window, because
// the earlier home may continue to run the key for a while before it learns that
// the key has moved.
//
// Guarantee: of the sends of a key that its caller makes within ResendWithin of
// the first, at most one runs, as long as no two daemons hold contradictory views,
// each with a majority, for longer than MaxDisagreement, and as long as the
// network delays no send by more than MaxDelay. A daemon that was paused for longer
// than MaxPause treats the pause as an interruption, both as a home and when it
// forwards a send, because the age of what was buffered during the pause is
// unknown.
//
// The guarantee does not cover daemons that disagree about the members for longer,
// which an asymmetric partition can cause; a send that the network delivers later;
// and a resend after the window, which runs again. Tickets have none of these
// gaps, because a ticket contains its expiry.
//
// Times are durations since the daemon's start on its monotonic clock. HomeTracker
// is not safe for concurrent use.
package keys

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

const (
	// DedupWindow is how long a home remembers a key.
	DedupWindow = ResendWithin + MaxDelay + 2*MaxPause
	// SettleAfter is how long a daemon must have been the home of a key before
	// it may run the key.
	SettleAfter = DedupWindow + MaxDisagreement
	// ResendWithin is how long after its first send a caller may resend.
	ResendWithin = 5 * time.Minute
	// MaxDelay is the longest network delay of a send that the window covers.
	MaxDelay = 3 * time.Minute
	// MaxPause is the longest pause of a daemon that the window covers, once at
	// the daemon that receives a send from the caller and once at its home.
	MaxPause = time.Minute
	// MaxDisagreement is the longest time for which two daemons may disagree
	// about the members.
	MaxDisagreement = 5 * time.Minute
	// MaxViews is the maximum number of stored views. If the members change more
	// often within SettleAfter, no key is settled.
	MaxViews = 256
)

// ChooseHome returns the home of a key among members, which are never empty. All
// daemons must use the same function.
type ChooseHome func(key names.Digest, members []names.Host) names.Host

// HomeTracker tracks for which keys a daemon is the settled home, from its history
// of views of the members.
type HomeTracker struct {
	self        names.Host
	settleAfter time.Duration
	choose      ChooseHome
	expected    int
	views       []view
	// unsettledUntil is the earliest time at which any key is settled, after a
	// start, a pause or the loss of a view.
	unsettledUntil time.Duration
	// lastHeartbeat is when the daemon last recorded that it runs.
	lastHeartbeat time.Duration
	// pausedUntil is when the last pause no longer counts.
	pausedUntil time.Duration
}

// view is the set of live members from since on, as the daemon saw it.
type view struct {
	since   time.Duration
	members []names.Host
}

// New returns the tracker of a daemon that starts now, at time zero, and knows no
// members. settleAfter is SettleAfter outside tests.
func New(self names.Host, settleAfter time.Duration, choose ChooseHome) *HomeTracker {
	return &HomeTracker{self: self, settleAfter: settleAfter, choose: choose, unsettledUntil: settleAfter}
}

// SetExpected sets the number of daemons that the manifest expects.
func (h *HomeTracker) SetExpected(daemons int) { h.expected = daemons }

// Observe records the live members, including this daemon, from now on. Members are
// identified by host: a member that restarts remains the home of its keys, and
// refuses them for SettleAfter from its start.
func (h *HomeTracker) Observe(members []names.Host, now time.Duration) {
	h.Heartbeat(now)
	h.trim(now)
	sorted := slices.Sorted(slices.Values(members))
	if len(h.views) == 0 {
		h.unsettledUntil = now + h.settleAfter
	} else if slices.Equal(h.views[len(h.views)-1].members, sorted) {
		return
	}
	h.views = append(h.views, view{since: now, members: sorted})
	if len(h.views) > MaxViews {
		h.dropOldest(now)
	}
}

// Heartbeat records that the daemon runs. It must be called every few seconds; an
// interval longer than MaxPause counts as a pause.
func (h *HomeTracker) Heartbeat(now time.Duration) {
	if now-h.lastHeartbeat > MaxPause {
		h.unsettledUntil = max(h.unsettledUntil, now+h.settleAfter)
		h.pausedUntil = now + h.settleAfter
	}
	h.lastHeartbeat = max(h.lastHeartbeat, now)
}

// HomeStatus is the home of a key, and whether this daemon may run the key.
type HomeStatus struct {
	// Home is the key's home in the current view; empty if there is none.
	Home names.Host
	// Settled is set if this daemon is the home and may run the key.
	Settled bool
	// SettledIn is how long this daemon must remain the home before it may run
	// the key, if the members do not change.
	SettledIn time.Duration
	// Paused is set if this daemon was paused within SettleAfter. It must not
	// forward sends.
	Paused bool
}

// Find returns the home of a key, and whether this daemon may run the key at now.
func (h *HomeTracker) Find(key names.Digest, now time.Duration) HomeStatus {
	h.Heartbeat(now)
	h.trim(now)
	if len(h.views) == 0 {
		return HomeStatus{SettledIn: h.settleAfter}
	}
	newest := h.views[len(h.views)-1]
	if len(newest.members) == 0 {
		return HomeStatus{SettledIn: h.settleAfter}
	}
	place := HomeStatus{Home: h.choose(key, newest.members), Paused: now < h.pausedUntil}
	place.SettledIn = max(0, h.settledAt(key, now)-now)
	place.Settled = place.Home == h.self && place.SettledIn == 0
	return place
}

// settledAt returns the time SettleAfter after this daemon was last not the home of
// the key, or did not know whether it was.
func (h *HomeTracker) settledAt(key names.Digest, now time.Duration) time.Duration {
	at := h.unsettledUntil
	for i, v := range h.views {
		if h.isHome(key, v.members) {
			continue
		}
		end := now
		if i+1 < len(h.views) {
			end = h.views[i+1].since
		}
		at = max(at, end+h.settleAfter)
	}
	return at
}

// isHome reports whether this daemon is the home of a key among members, and these
// are a majority of the expected daemons.
func (h *HomeTracker) isHome(key names.Digest, members []names.Host) bool {
	if h.expected <= 0 || 2*len(members) <= h.expected {
		return false
	}
	return h.choose(key, members) == h.self
}

// trim removes the views that ended more than SettleAfter ago.
func (h *HomeTracker) trim(now time.Duration) {
	keep := 0
	for keep+1 < len(h.views) && h.views[keep+1].since+h.settleAfter < now {
		keep++
	}
	h.views = h.views[keep:]
}

// dropOldest removes the oldest view. No key is settled until SettleAfter after the
// end of that view.
func (h *HomeTracker) dropOldest(now time.Duration) {
	h.unsettledUntil = max(h.unsettledUntil, min(now, h.views[1].since)+h.settleAfter)
	h.views = h.views[1:]
}
