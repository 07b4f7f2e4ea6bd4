package suspects

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// EndsToRefuse is the number of ends under which an item is refused.
	EndsToRefuse = 3
	// EndsToStopRetries is the number of ends under which a request that was cut off is
	// not sent again.
	EndsToStopRetries = 2
	// SettleTime is how long an item waits for its refusal after the last end that it
	// needs. Other ends of the same moment are known then, and what other daemons know of
	// sound requests with it.
	SettleTime = 300 * time.Millisecond
	// TiedSettleTime is the same for an item that is in the same ends as others. Further
	// ends may tell them apart.
	TiedSettleTime = 900 * time.Millisecond
	// SoundSettleTime is the same for an item with which requests were sound of late. A
	// sound request that was sent after the last of these ends has had its first event and
	// has lasted AccusedFor by then.
	SoundSettleTime = 1800 * time.Millisecond
	// LongSettleTime is how long such an item waits after the EndsToRefuseLong-th end at
	// most, however seldom requests with it come.
	LongSettleTime = 2200 * time.Millisecond
	// overdueRequests is the number of sound requests with such an item that must be
	// missing at its usual rate.
	overdueRequests = 6
	// usualSoundTime is the time from a send until a request is known to be sound.
	usualSoundTime = 1500 * time.Millisecond
	// minShare is the least part of the ends of its services since its first end, as
	// one in minShare, that an item must be in to be refused.
	minShare = 3
	// AccusedFor is how long after its first event a request is accused of the end of
	// its target. After that it is sound.
	AccusedFor = time.Second
	// SoundFor is how long after a sound request its items are refused by the slower rule.
	SoundFor = 30 * time.Second
	// EndsToRefuseLong is the number of ends from which an item is refused for long.
	EndsToRefuseLong = 5
	// RefusedFor is how long an item is refused after its last end.
	RefusedFor = 10 * time.Minute
	// RefusedShortlyFor is the same under fewer ends than EndsToRefuseLong: they may have
	// other causes, and no request with a refused item runs, so that none can be sound.
	RefusedShortlyFor = 15 * time.Second
	// EndsKeptFor is how long ends are kept.
	EndsKeptFor = 10 * time.Minute
)

// Maximum sizes of tables and messages.
const (
	MaxItems = 4096
	MaxEnds  = 512
	// MaxSuspects is the maximum number of suspects of an accusation.
	MaxSuspects = 24
	// MaxCustomers is the maximum number of customers that are kept for an item.
	MaxCustomers = 4
	// maxOwnSuspects is the maximum number of suspects of an end at one daemon. The
	// accusation names MaxSuspects of them.
	maxOwnSuspects = 128
	// maxItemEnds is the maximum number of ends that are kept for an item.
	maxItemEnds = 64
)

// Suspect is an item of a customer's request that was cut off.
type Suspect struct {
	Item     Item
	Customer CustomerHash
	// SoundAgo is how long ago the accusing daemon sent its last sound request with the item,
	// zero if it has sent none of late.
	SoundAgo  time.Duration
	Frequency Frequency
	// SoundRate is how many sound requests with the item a second the accusing daemon had
	// of late, zero if it had fewer than two.
	SoundRate float64
	// SoundAll is the number of sound requests of the service that the accusing daemon had of
	// late, and SoundWith how many of them have the item.
	SoundWith, SoundAll int
	// Requests is the number of requests with the item that were cut off, see
	// Accusation.Requests.
	Requests int
}

// Accusation names the suspects of an end at one daemon.
type Accusation struct {
	End      End
	Service  ServiceHash
	Suspects []Suspect
	// Requests is the number of requests that the end cut off at the daemon since its last
	// accusation of this end. It is zero in accusations of earlier releases.
	Requests int
}

// addEarlier adds the requests of an earlier accusation of the same end that was not sent.
func (a *Accusation) addEarlier(earlier *Accusation) {
	a.Requests += earlier.Requests
	for i := range a.Suspects {
		s := &a.Suspects[i]
		for _, e := range earlier.Suspects {
			if e.Item == s.Item && e.Customer == s.Customer {
				s.Requests += e.Requests
			}
		}
	}
}

// Refusal is a refused item, or one that is not sent again after it was cut off.
type Refusal struct {
	Item Item
	// Remaining is the time until the refusal expires.
	Remaining time.Duration
	// Customers are the customers whose requests accused the item. Two or more mean
	// that it is refused for all.
	Customers []CustomerHash
}

// Table holds the ends of targets and the items accused of them.
type Table struct {
	ends  map[End]endRecord
	items map[Item]*itemRecord
	sound *recent
	// version counts the changes of the ends and refusals of items.
	version uint64
}

type endRecord struct {
	service ServiceHash
	at      time.Time
	// requests is the number of requests that the end cut off, by the accusations.
	requests int
	// servedSince is when the first sound request of the service after the end was sent, zero
	// if none is known.
	servedSince time.Time
	// own are the suspects of this daemon's requests.
	own []ownSuspect
}

// ownSuspect is a suspect with its position among the items of its request.
type ownSuspect struct {
	Suspect
	position int
}

// New returns an empty table.
func New() *Table {
	return &Table{ends: make(map[End]endRecord), items: make(map[Item]*itemRecord), sound: newRecent()}
}

// Sound records a request that a target completed, or has been answering for AccusedFor, and
// that was sent at sentAt: its items did not crash targets at that time. It returns those of
// its items that are suspect; other daemons have to be told.
func (t *Table) Sound(r *Request, sentAt, now time.Time) []Item {
	t.sound.count(r, sentAt)
	t.recordServed(r.Service, sentAt)
	var suspect []Item
	for _, item := range r.Items {
		t.sound.add(item, sentAt, now)
		if _, ok := t.items[item]; ok {
			t.dropEndsBefore(item)
			suspect = append(suspect, item)
		}
	}
	return suspect
}

// HearSound records that a sound request with an item was sent some time ago at another
// daemon.
func (t *Table) HearSound(item Item, ago time.Duration, now time.Time) {
	if ago >= SoundFor {
		return
	}
	sentAt := now.Add(-max(ago, 0))
	if record, ok := t.items[item]; ok {
		for _, service := range record.services {
			t.recordServed(service, sentAt)
		}
	}
	t.sound.add(item, sentAt, now)
	t.dropEndsBefore(item)
}

// dropEndsBefore drops what is known against an item from before the last sound request
// with it was sent.
func (t *Table) dropEndsBefore(item Item) {
	record, ok := t.items[item]
	if !ok {
		return
	}
	if record.dropBefore(t.sound.last(item)) {
		t.version++
	}
	if record.isEmpty() {
		delete(t.items, item)
	}
}

// SoundAgo returns how long ago the last sound request with the item was sent, and false if
// that was SoundFor ago or more.
func (t *Table) SoundAgo(item Item, now time.Time) (time.Duration, bool) {
	at := t.sound.last(item)
	return now.Sub(at), !at.IsZero() && now.Sub(at) < SoundFor
}

// OwnSoundAgo is SoundAgo of the requests of this daemon. Other daemons are told of these
// alone: the time of a message would add to that of an earlier one.
func (t *Table) OwnSoundAgo(item Item, now time.Time) (time.Duration, bool) {
	at := t.sound.lastOwn(item)
	return now.Sub(at), !at.IsZero() && now.Sub(at) < SoundFor
}

// Cut records that an end cut off a request of this daemon. It returns the accusation of
// this end by this daemon: the items of this and of earlier calls. The accusation counts
// where it is merged, since a daemon alone knows too few ends to tell the crashing part from
// those beside it.
func (t *Table) Cut(e End, service ServiceHash, r *Request, now time.Time) Accusation {
	record := t.end(e, service, now)
	suspects := slices.Clone(r.Items)
	slices.SortFunc(suspects, func(a, b Item) int { return cmp.Compare(rank(a, e), rank(b, e)) })
	for position, item := range suspects {
		if !slices.ContainsFunc(record.own, func(s ownSuspect) bool { return s.Item == item && s.Customer == r.Customer }) {
			known := t.sound.requests(item, r.Service)
			suspect := Suspect{
				Item: item, Customer: r.Customer, Frequency: t.sound.frequency(item, r.Service), SoundRate: t.sound.rate(item),
				SoundWith: known.with, SoundAll: known.all,
			}
			record.own = append(record.own, ownSuspect{Suspect: suspect, position: position})
		}
	}
	t.sortSuspects(e, record.own)
	record.own = record.own[:min(len(record.own), maxOwnSuspects)]
	t.ends[e] = record
	a := Accusation{End: e, Service: service, Requests: 1}
	for _, s := range record.own[:min(len(record.own), MaxSuspects)] {
		if s.Customer == r.Customer && slices.Contains(r.Items, s.Item) {
			s.Requests = 1
		}
		if ago, ok := t.OwnSoundAgo(s.Item, now); ok {
			s.SoundAgo = max(ago, 1)
		}
		a.Suspects = append(a.Suspects, s.Suspect)
	}
	return a
}

// rank returns the position of an item among those of a request. It differs from end to
// end, so that none is left out every time.
func rank(item Item, e End) uint64 {
	const factor = 0x9e3779b97f4a7c15 // spreads the bits
	return (uint64(item) ^ uint64(e)) * factor
}

// sortSuspects sorts suspects by their number of other ends, the highest first. Those with
// equal numbers are taken from each request in turn, so that a request with many parts does
// not displace others.
func (t *Table) sortSuspects(e End, own []ownSuspect) {
	slices.SortFunc(own, func(a, b ownSuspect) int {
		return cmp.Or(cmp.Compare(t.endsBesides(b.Item, e), t.endsBesides(a.Item, e)), cmp.Compare(a.position, b.position), cmp.Compare(rank(a.Item, e), rank(b.Item, e)))
	})
}

// endsBesides returns the number of ends of an item other than e.
func (t *Table) endsBesides(item Item, e End) int {
	record, ok := t.items[item]
	if !ok {
		return 0
	}
	if record.hasEnd(e) {
		return len(record.ends) - 1
	}
	return len(record.ends)
}

// Merge adds an accusation of this or another daemon.
func (t *Table) Merge(a *Accusation, now time.Time) {
	a = a.withRequests()
	end := t.end(a.End, a.Service, now)
	end.requests += a.Requests
	t.ends[a.End] = end
	t.version++
	for _, s := range a.Suspects[:min(len(a.Suspects), MaxSuspects)] {
		if s.SoundAgo > 0 {
			t.HearSound(s.Item, s.SoundAgo, now)
		}
		if !end.at.After(t.sound.last(s.Item)) {
			continue
		}
		t.item(s.Item, now).accuse(a, &s, end.at)
		t.version++
	}
}

// withRequests returns the accusation itself, or for one of an earlier release a copy in which
// the numbers of requests are estimated.
func (a *Accusation) withRequests() *Accusation {
	if a.Requests > 0 {
		return a
	}
	estimate := &Accusation{End: a.End, Service: a.Service, Suspects: slices.Clone(a.Suspects), Requests: len(a.Suspects)}
	for i := range estimate.Suspects {
		s := &estimate.Suspects[i]
		s.Requests = 1
		switch s.Frequency {
		case Common:
			s.SoundWith, s.SoundAll = minRequests, minRequests
		case Rare:
			s.SoundWith, s.SoundAll = minRequests/(2*commonShare), minRequests
		case Unknown:
		}
	}
	return estimate
}

// Check returns the refusal that applies to a request, and whether there is one. Of
// several refusals it returns the one that expires last.
func (t *Table) Check(r *Request, now time.Time) (Refusal, bool) {
	var last Refusal
	found := false
	for _, item := range r.Items {
		refusal, ok := t.refusal(item, now)
		if ok && visible(refusal.Customers, r.Customer) && refusal.Remaining > last.Remaining {
			last, found = refusal, true
		}
	}
	return last, found
}

// visible reports whether an item that these customers accused is refused for a customer.
func visible(accusers []CustomerHash, c CustomerHash) bool {
	return len(accusers) > 1 || slices.Contains(accusers, c)
}

// MayRetry reports whether a request that was cut off may be sent again. A common item with
// which requests were sound of late stops no retries: it is in most ends.
func (t *Table) MayRetry(r *Request, now time.Time) bool {
	return !slices.ContainsFunc(r.Items, func(item Item) bool {
		if _, sound := t.SoundAgo(item, now); sound && t.sound.frequency(item, r.Service) == Common {
			return false
		}
		suspect, ok := t.suspicion(item, now)
		return ok && visible(suspect.Customers, r.Customer) || t.ownEnds(item, r.Customer) >= EndsToStopRetries
	})
}

// ownEnds returns the number of ends that cut off requests of this daemon with an item of a
// customer, since the last sound request with the item was sent.
func (t *Table) ownEnds(item Item, c CustomerHash) int {
	count, sound := 0, t.sound.last(item)
	for _, e := range t.ends {
		if e.at.After(sound) && slices.ContainsFunc(e.own, func(own ownSuspect) bool { return own.Item == item && own.Customer == c }) {
			count++
		}
	}
	return count
}

// suspicion returns the suspicion of an item, and whether it is under EndsToStopRetries
// or more ends.
func (t *Table) suspicion(item Item, now time.Time) (Refusal, bool) {
	record, ok := t.items[item]
	if !ok {
		return Refusal{}, false
	}
	until := record.suspectUntil()
	if len(record.ends) >= EndsToStopRetries && record.lastEnd().Add(EndsKeptFor).After(until) {
		until = record.lastEnd().Add(EndsKeptFor)
	}
	return Refusal{Item: item, Remaining: until.Sub(now), Customers: slices.Clone(record.customers)}, now.Before(until)
}

// refusal returns the refusal of an item, and whether it is refused.
func (t *Table) refusal(item Item, now time.Time) (Refusal, bool) {
	record, ok := t.items[item]
	if !ok {
		return Refusal{}, false
	}
	until := record.announcedUntil()
	if own := t.decided(item, record, now); own.After(until) {
		until = own
	}
	if !now.Before(until) || t.isExplained(item, record, now) {
		return Refusal{}, false
	}
	return Refusal{Item: item, Remaining: until.Sub(now), Customers: slices.Clone(record.customers)}, true
}

// Refusals returns the refusals in force, ordered by item.
func (t *Table) Refusals(now time.Time) []Refusal { return t.list(t.refusal, now) }

// Suspicions returns the items that are not sent again, those under the most ends first.
func (t *Table) Suspicions(now time.Time) []Refusal {
	list := t.list(t.suspicion, now)
	slices.SortStableFunc(list, func(a, b Refusal) int { return cmp.Compare(len(t.items[b.Item].ends), len(t.items[a.Item].ends)) })
	return list
}

func (t *Table) list(of func(Item, time.Time) (Refusal, bool), now time.Time) []Refusal {
	var list []Refusal
	for item := range t.items {
		if r, ok := of(item, now); ok {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return cmp.Compare(a.Item, b.Item) })
	return list
}

// Expire drops what has expired.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.ends, func(_ End, e endRecord) bool { return now.Sub(e.at) > EndsKeptFor })
	maps.DeleteFunc(t.items, func(_ Item, r *itemRecord) bool {
		return now.Sub(r.lastEnd()) > EndsKeptFor && !now.Before(r.announcedUntil()) && !now.Before(r.suspectUntil())
	})
	t.sound.expire(now)
}

// Size returns the number of items that are accused or refused.
func (t *Table) Size() int { return len(t.items) }

// end returns the record of an end, and adds it if it is missing. The oldest end is
// dropped beyond MaxEnds.
func (t *Table) end(e End, service ServiceHash, now time.Time) endRecord {
	if record, ok := t.ends[e]; ok {
		return record
	}
	if len(t.ends) >= MaxEnds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(t.ends)), func(a, b End) int {
			return cmp.Or(t.ends[a].at.Compare(t.ends[b].at), cmp.Compare(a, b))
		})
		delete(t.ends, oldest)
	}
	record := endRecord{service: service, at: now}
	t.ends[e] = record
	return record
}

// item returns the record of an item, and adds it if it is missing.
func (t *Table) item(item Item, now time.Time) *itemRecord {
	if record, ok := t.items[item]; ok {
		return record
	}
	if len(t.items) >= MaxItems {
		t.evict(now)
	}
	record := &itemRecord{}
	t.items[item] = record
	return record
}

// evict drops a quarter of the items: those that are not refused first, and among these
// those under the fewest ends and the oldest ones.
func (t *Table) evict(now time.Time) {
	type entry struct {
		item   Item
		record *itemRecord
		until  time.Time
	}
	list := make([]entry, 0, len(t.items))
	for item, record := range t.items {
		until := record.announcedUntil()
		if own := t.decided(item, record, now); own.After(until) {
			until = own
		}
		list = append(list, entry{item, record, until})
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(len(a.record.ends), len(b.record.ends)),
			a.record.lastKnown().Compare(b.record.lastKnown()), cmp.Compare(a.item, b.item))
	})
	for _, e := range list[:len(list)/4] {
		delete(t.items, e.item)
	}
}
