package overload

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/request/fairness"
)

// State is what a home remembers of the requests of a service.
type State struct {
	usage *fairness.Usage
	// refused counts the recent refusals, and paused the recent answers that were paused for
	// too long, of each class of ranks at updatedAt.
	refused   [inflight.RankClasses]float64
	paused    [inflight.RankClasses]float64
	updatedAt time.Time
	returns   Returns
}

// NewState returns the state of a service that has had no requests.
func NewState() *State { return &State{usage: fairness.New()} }

// Refused records that a request that came for the first time is refused.
func (s *State) Refused(rank int, now time.Time) {
	s.decay(now)
	s.refused[inflight.RankClass(rank)]++
}

// Paused records that answers are about to be paused for longer than their callers accept.
func (s *State) Paused(answers *[inflight.RankClasses]int32, now time.Time) {
	s.decay(now)
	for i, n := range answers {
		s.paused[i] += float64(n)
	}
}

// decay applies the decay since the last update.
func (s *State) decay(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := inflight.DecayFactor(elapsed)
	for i := range s.refused {
		s.refused[i] *= factor
		s.paused[i] *= factor
	}
	s.updatedAt = now
}

const (
	// minRecent is the number of recent requests of a class from which its share counts.
	minRecent = 3.0
	// peakShare is the share in time of more urgent requests below which less urgent ones
	// must not be in time more often. At usual load 95 in 100 short prompts are in time.
	peakShare = 0.9
	// urgentMargin is the share of the urgent requests' share in time up to which less urgent
	// ones may be in time. The difference allows for late first events that are still to come
	// and for pauses that are not predicted.
	urgentMargin = 0.7
)

// AheadOfUrgent reports whether some more urgent requests than those of a rank are in time less
// often than these, and too seldom.
func (s *State) AheadOfUrgent(rank int, room *Room, now time.Time) bool {
	s.decay(now)
	class := inflight.RankClass(rank)
	own := s.recent(class, room)
	for c := range class {
		urgent := s.recent(c, room)
		if urgent.All < minRecent || urgent.InTime >= peakShare*urgent.All {
			continue
		}
		if (own.InTime+1)*urgent.All > urgentMargin*urgent.InTime*(own.All+1) {
			return true
		}
	}
	return false
}

// recent returns the recent requests of a class, and those of them that were answered in time.
func (s *State) recent(class int, room *Room) inflight.Recent {
	first := &room.Recent[class]
	return inflight.Recent{All: first.All + s.refused[class], InTime: max(first.InTime-s.paused[class], 0)}
}

// Placed records work of a customer, in the unit of placement.Size. Requests without a
// customer are not counted.
func (s *State) Placed(c names.Customer, size int, now time.Time) {
	if c != "" {
		s.usage.Add(now, c, 1, size)
	}
}

// overShareRatio is the ratio to the average use above which a customer counts as over its
// share. A customer at its share may exceed the average by half within a few seconds, since
// the sizes of prompts differ a hundredfold.
const overShareRatio = 1.5

// OverShare reports whether a customer recently used much more than the average customer.
func (s *State) OverShare(c names.Customer, now time.Time) bool {
	return c != "" && s.usage.RatioToAverage(now, c) > overShareRatio
}

const (
	// returnShare is the share of the freed slots that is promised to refused callers. The
	// rest is left to requests that come for the first time.
	returnShare = 0.25
	// maxReturnShare is the share of the time left within which a refused caller must return,
	// so that its request can still be served.
	maxReturnShare = 0.5
)

// RetryAfter returns the delay after which a refused caller should return: not before wait, and
// after the callers refused before it. random is in [0, 1).
func (s *State) RetryAfter(room *Room, wait, timeLeft time.Duration, random float64, now time.Time) time.Duration {
	interval := time.Duration(0)
	if room.Slots > 0 {
		interval = time.Duration(float64(room.SlotTime) / (returnShare * float64(room.Slots)))
	}
	return s.returns.Next(wait, interval, time.Duration(maxReturnShare*float64(timeLeft)), random, now)
}

// Returns spreads the returns of refused callers.
type Returns struct {
	// last is the latest time at which a caller was told to return.
	last time.Time
}

// Next returns the delay of the next caller: at least wait, and interval after the one before it,
// but at most latest. Callers who cannot wait for their turn are spread at random between wait and
// latest. random is in [0, 1).
func (r *Returns) Next(wait, interval, latest time.Duration, random float64, now time.Time) time.Duration {
	wait = min(wait, latest)
	at := now.Add(wait)
	if turn := r.last.Add(interval); turn.After(at) {
		at = turn
	}
	if delay := at.Sub(now); delay <= latest {
		r.last = at
		return delay
	}
	return wait + time.Duration(random*float64(latest-wait))
}
