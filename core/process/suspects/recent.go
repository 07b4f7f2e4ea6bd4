package suspects

import "time"

// maxRecent is the number of items after which the older half of a recent table is
// dropped.
const maxRecent = 16384

// commonShare is the least part of the requests of a service, as one in commonShare, that
// have a common item.
const commonShare = 5

// minRequests is the number of sound requests of a service from which a daemon says whether
// an item is common.
const minRequests = 40

// Frequency says whether many requests have an item.
type Frequency uint8

// Frequencies.
const (
	// Unknown is the frequency at a daemon with fewer than minRequests sound requests.
	Unknown Frequency = iota
	// Rare is the frequency of an item that fewer than one in commonShare of the sound
	// requests of the service had of late, and Common that of others.
	Rare
	Common
)

// recent holds the times at which the last sound requests with an item were sent, and how
// many of this daemon's requests had it, in two generations. The older generation is dropped
// when the newer one is full or SoundFor old.
type recent struct {
	newer, older generation
	since        time.Time // start of the newer generation
}

type generation struct {
	sent map[Item]time.Time
	// own counts this daemon's sound requests, by item and by service.
	own      map[Item]ownRequests
	services map[ServiceHash]int
}

// ownRequests are this daemon's sound requests with an item.
type ownRequests struct {
	count       int
	first, last time.Time // when the first and the last one were sent
}

func newGeneration() generation {
	return generation{sent: make(map[Item]time.Time), own: make(map[Item]ownRequests), services: make(map[ServiceHash]int)}
}

func newRecent() *recent { return &recent{newer: newGeneration(), older: newGeneration()} }

// add records a sound request that was sent at a time, unless a later one is known.
func (r *recent) add(item Item, sentAt, now time.Time) {
	if !sentAt.After(r.last(item)) {
		return
	}
	if len(r.newer.sent) >= maxRecent {
		r.rotate(now)
	}
	r.newer.sent[item] = sentAt
}

// count counts the items of a sound request of this daemon that was sent at a time.
func (r *recent) count(q *Request, sentAt time.Time) {
	r.newer.services[q.Service]++
	for _, item := range q.Items {
		own, ok := r.newer.own[item]
		if !ok && len(r.newer.own) >= maxRecent {
			continue
		}
		if own.count++; own.count == 1 || sentAt.Before(own.first) {
			own.first = sentAt
		}
		if sentAt.After(own.last) {
			own.last = sentAt
		}
		r.newer.own[item] = own
	}
}

// rate returns the number of this daemon's sound requests with an item a second, zero if it
// had fewer than two.
func (r *recent) rate(item Item) float64 {
	own, older := r.newer.own[item], r.older.own[item]
	if own.count < 2 {
		own = older
	}
	if own.count < 2 || !own.last.After(own.first) {
		return 0
	}
	return float64(own.count-1) / own.last.Sub(own.first).Seconds()
}

// requests returns how many of this daemon's sound requests of a service have an item.
func (r *recent) requests(item Item, service ServiceHash) share {
	return share{with: r.newer.own[item].count + r.older.own[item].count, all: r.newer.services[service] + r.older.services[service]}
}

// frequency returns the frequency of an item among the requests of a service.
func (r *recent) frequency(item Item, service ServiceHash) Frequency {
	switch s := r.requests(item, service); {
	case s.all < minRequests:
		return Unknown
	case s.with*commonShare >= s.all:
		return Common
	default:
		return Rare
	}
}

// last returns when the last sound request was sent, zero if none is known.
func (r *recent) last(item Item) time.Time {
	if at, ok := r.newer.sent[item]; ok {
		return at
	}
	return r.older.sent[item]
}

// lastOwn returns when this daemon sent its last sound request, zero if it has sent none of
// late.
func (r *recent) lastOwn(item Item) time.Time {
	if own, ok := r.newer.own[item]; ok {
		return own.last
	}
	return r.older.own[item].last
}

// expire drops the older generation if the newer one is SoundFor old.
func (r *recent) expire(now time.Time) {
	if now.Sub(r.since) >= SoundFor {
		r.rotate(now)
	}
}

func (r *recent) rotate(now time.Time) { r.older, r.newer, r.since = r.newer, newGeneration(), now }
