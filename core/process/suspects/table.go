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
	// needs. Other ends of the same moment are known then, and clearances of the daemons
	// at which it completed.
	SettleTime = 300 * time.Millisecond
	// minShare is the least part of the ends of its services since its first end, as
	// one in minShare, that an item must be in to be refused.
	minShare = 3
	// AccusedFor is how long after its first event a request is accused of the end of
	// its target.
	AccusedFor = time.Second
	// ClearedFor is how long a completed request clears its items.
	ClearedFor = 30 * time.Second
	// EndsToRefuseLong is the number of ends from which an item is refused for long.
	EndsToRefuseLong = 5
	// RefusedFor is how long an item is refused after its last end.
	RefusedFor = 10 * time.Minute
	// RefusedShortlyFor is the same under fewer ends than EndsToRefuseLong: they may have
	// other causes, and no completed request can clear a refused item.
	RefusedShortlyFor = 15 * time.Second
	// EndsKeptFor is how long ends are kept.
	EndsKeptFor = 10 * time.Minute
)

// Maximum sizes of tables and messages.
const (
	MaxItems = 4096
	MaxEnds  = 512
	// MaxSuspects is the maximum number of suspects of an accusation.
	MaxSuspects = 16
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
}

// Accusation names the suspects of an end at one daemon.
type Accusation struct {
	End      End
	Service  ServiceHash
	Suspects []Suspect
	// Cleared are the items that a completed request clears, at most MaxSuspects. They are
	// for the log of this daemon.
	Cleared []Item
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
	ends      map[End]endRecord
	items     map[Item]*itemRecord
	completed *recent
	// version counts the changes of the ends and refusals of items.
	version uint64
}

type endRecord struct {
	service ServiceHash
	at      time.Time
	// own are the suspects of this daemon's requests.
	own []ownSuspect
	// cleared are the items of these requests that a completed request clears.
	cleared []Item
}

// ownSuspect is a suspect with its position among the items of its request.
type ownSuspect struct {
	Suspect
	position int
}

type itemRecord struct {
	ends      []End
	services  []ServiceHash
	customers []CustomerHash
	// firstEnd and lastEnd are the times of the first and the last end, and countedAt
	// that of the one that made their number EndsToRefuse.
	firstEnd, lastEnd, countedAt time.Time
	refusedUntil                 time.Time
	// suspectUntil is until when another daemon says that the item is under
	// EndsToStopRetries or more ends.
	suspectUntil time.Time
	// explained is the result of isExplained as of the version explainedAt of the table.
	explained   bool
	explainedAt uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{ends: make(map[End]endRecord), items: make(map[Item]*itemRecord), completed: newRecent()}
}

// Completed records that a request completed. It returns those of its items that were
// accused; they are cleared at this daemon, and the other daemons have to be told.
func (t *Table) Completed(r *Request, now time.Time) []Item {
	var cleared []Item
	for _, item := range r.Items {
		t.completed.add(item, now)
		if _, ok := t.items[item]; ok {
			t.drop(item)
			cleared = append(cleared, item)
		}
	}
	return cleared
}

// Clear records that a request with an item completed some time ago at another daemon.
func (t *Table) Clear(item Item, ago time.Duration, now time.Time) {
	at := now.Add(-max(ago, 0))
	if ago >= ClearedFor || !at.After(t.completed.last(item)) {
		return
	}
	t.completed.add(item, at)
	t.drop(item)
}

// drop removes the record of an item.
func (t *Table) drop(item Item) {
	delete(t.items, item)
	t.version++
}

// ClearedAgo returns how long ago a request with the item completed, and false if that
// does not clear it any more.
func (t *Table) ClearedAgo(item Item, now time.Time) (time.Duration, bool) {
	at := t.completed.last(item)
	return now.Sub(at), !at.IsZero() && now.Sub(at) < ClearedFor
}

// Cut records that an end cut off a request of this daemon. It returns the accusation of
// this end by this daemon: the items of this and of earlier calls, but not those that a
// completed request clears. The accusation counts where it is merged, since a daemon alone
// knows too few ends to tell the crashing part from those beside it.
func (t *Table) Cut(e End, service ServiceHash, r *Request, now time.Time) Accusation {
	record := t.end(e, service, now)
	var suspects []Item
	for _, item := range r.Items {
		if _, cleared := t.ClearedAgo(item, now); !cleared {
			suspects = append(suspects, item)
		} else if len(record.cleared) < MaxSuspects && !slices.Contains(record.cleared, item) {
			record.cleared = append(record.cleared, item)
		}
	}
	slices.SortFunc(suspects, func(a, b Item) int { return cmp.Compare(rank(a, e), rank(b, e)) })
	for position, item := range suspects {
		suspect := Suspect{Item: item, Customer: r.Customer}
		if !slices.ContainsFunc(record.own, func(s ownSuspect) bool { return s.Suspect == suspect }) {
			record.own = append(record.own, ownSuspect{Suspect: suspect, position: position})
		}
	}
	t.sortSuspects(e, record.own)
	record.own = record.own[:min(len(record.own), maxOwnSuspects)]
	t.ends[e] = record
	a := Accusation{End: e, Service: service, Cleared: record.cleared}
	for _, s := range record.own[:min(len(record.own), MaxSuspects)] {
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
	if slices.Contains(record.ends, e) {
		return len(record.ends) - 1
	}
	return len(record.ends)
}

// Merge adds an accusation of this or another daemon. It returns the items under
// EndsToStopRetries or more ends that a completed request clears: the other daemons have
// to be told.
func (t *Table) Merge(a *Accusation, now time.Time) (contested []Item) {
	end := t.end(a.End, a.Service, now)
	for _, s := range a.Suspects[:min(len(a.Suspects), MaxSuspects)] {
		if !end.at.After(t.completed.last(s.Item)) {
			contested = append(contested, s.Item)
			continue
		}
		record := t.item(s.Item, now)
		record.accuse(a, s.Customer, end.at, now)
		t.version++
		if _, cleared := t.ClearedAgo(s.Item, now); cleared && len(record.ends) >= EndsToStopRetries {
			contested = append(contested, s.Item)
		}
	}
	return contested
}

// accuse adds an end to a record, unless it is known.
func (r *itemRecord) accuse(a *Accusation, c CustomerHash, at, now time.Time) {
	if !slices.Contains(r.customers, c) && len(r.customers) < MaxCustomers {
		r.customers = append(r.customers, c)
	}
	if slices.Contains(r.ends, a.End) || len(r.ends) >= maxItemEnds {
		return
	}
	r.ends = append(r.ends, a.End)
	if !slices.Contains(r.services, a.Service) {
		r.services = append(r.services, a.Service)
	}
	if r.firstEnd.IsZero() || at.Before(r.firstEnd) {
		r.firstEnd = at
	}
	if len(r.ends) == EndsToRefuse {
		r.countedAt = now
	}
	r.lastEnd = now
	if !r.refusedUntil.IsZero() {
		r.refusedUntil = now.Add(r.refusalTime())
	}
}

// refusalTime returns how long the item is refused after its last end.
func (r *itemRecord) refusalTime() time.Duration {
	if len(r.ends) < EndsToRefuseLong {
		return RefusedShortlyFor
	}
	return RefusedFor
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

// MayRetry reports whether a request that was cut off may be sent again.
func (t *Table) MayRetry(r *Request, now time.Time) bool {
	return !slices.ContainsFunc(r.Items, func(item Item) bool {
		suspect, ok := t.suspicion(item, now)
		return ok && visible(suspect.Customers, r.Customer) || t.ownEnds(Suspect{Item: item, Customer: r.Customer}, now) >= EndsToStopRetries
	})
}

// ownEnds returns the number of ends that cut off requests of this daemon with a suspect,
// zero if a completed request clears its item.
func (t *Table) ownEnds(s Suspect, now time.Time) int {
	if _, cleared := t.ClearedAgo(s.Item, now); cleared {
		return 0
	}
	count := 0
	for _, e := range t.ends {
		if slices.ContainsFunc(e.own, func(own ownSuspect) bool { return own.Suspect == s }) {
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
	if _, cleared := t.ClearedAgo(item, now); cleared {
		return Refusal{}, false
	}
	until := record.suspectUntil
	if len(record.ends) >= EndsToStopRetries && record.lastEnd.Add(EndsKeptFor).After(until) {
		until = record.lastEnd.Add(EndsKeptFor)
	}
	return Refusal{Item: item, Remaining: until.Sub(now), Customers: slices.Clone(record.customers)}, now.Before(until)
}

// refusal returns the refusal of an item, and whether it is refused.
func (t *Table) refusal(item Item, now time.Time) (Refusal, bool) {
	record, ok := t.items[item]
	if !ok {
		return Refusal{}, false
	}
	if _, cleared := t.ClearedAgo(item, now); cleared {
		return Refusal{}, false
	}
	if record.refusedUntil.IsZero() && t.proven(record, now) {
		record.refusedUntil = now.Add(record.refusalTime())
		t.version++
	}
	if !now.Before(record.refusedUntil) || t.isExplained(record, now) {
		return Refusal{}, false
	}
	return Refusal{Item: item, Remaining: record.refusedUntil.Sub(now), Customers: slices.Clone(record.customers)}, true
}

// proven reports whether an item is under enough ends, and in enough of all ends.
func (t *Table) proven(r *itemRecord, now time.Time) bool {
	if len(r.ends) < EndsToRefuse || now.Sub(r.countedAt) < SettleTime {
		return false
	}
	all := 0
	for _, end := range t.ends {
		if !end.at.Before(r.firstEnd) && slices.Contains(r.services, end.service) {
			all++
		}
	}
	return len(r.ends)*minShare >= all
}

// isExplained reports whether too few ends of a record are left without those that another
// refused item is in, which is in more ends.
func (t *Table) isExplained(r *itemRecord, now time.Time) bool {
	if r.explainedAt == t.version {
		return r.explained
	}
	r.explainedAt = t.version
	left := slices.Clone(r.ends)
	for item, other := range t.items {
		if len(other.ends) <= len(r.ends) {
			continue
		}
		inForce := now.Before(other.refusedUntil) || t.proven(other, now)
		if _, cleared := t.ClearedAgo(item, now); cleared || !inForce {
			continue
		}
		left = slices.DeleteFunc(left, func(e End) bool { return slices.Contains(other.ends, e) })
	}
	r.explained = len(left) < min(len(r.ends), EndsToRefuse)
	return r.explained
}

// Refusals returns the refusals in force, ordered by item.
func (t *Table) Refusals(now time.Time) []Refusal { return t.list(t.refusal, now) }

// Suspicions returns the items that are not sent again, ordered by item.
func (t *Table) Suspicions(now time.Time) []Refusal { return t.list(t.suspicion, now) }

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

// MergeRefusal adds a refusal of another daemon. It returns false if a completed request
// clears the item: the other daemons have to be told.
func (t *Table) MergeRefusal(r *Refusal, now time.Time) bool {
	record, ok := t.announced(r, now)
	if !ok {
		return false
	}
	if until := now.Add(min(r.Remaining, RefusedFor)); until.After(record.refusedUntil) {
		record.refusedUntil = until
		t.version++
	}
	return true
}

// MergeSuspicion adds a suspicion of another daemon. It returns false like MergeRefusal.
func (t *Table) MergeSuspicion(r *Refusal, now time.Time) bool {
	record, ok := t.announced(r, now)
	if !ok {
		return false
	}
	if until := now.Add(min(r.Remaining, EndsKeptFor)); until.After(record.suspectUntil) {
		record.suspectUntil = until
	}
	return true
}

// announced returns the record of an item that another daemon announced, with the
// customers added. It returns false if a completed request clears the item.
func (t *Table) announced(r *Refusal, now time.Time) (*itemRecord, bool) {
	if _, cleared := t.ClearedAgo(r.Item, now); cleared {
		return nil, false
	}
	record := t.item(r.Item, now)
	for _, c := range r.Customers {
		if !slices.Contains(record.customers, c) && len(record.customers) < MaxCustomers {
			record.customers = append(record.customers, c)
		}
	}
	return record, true
}

// Expire drops what has expired.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.ends, func(_ End, e endRecord) bool { return now.Sub(e.at) > EndsKeptFor })
	maps.DeleteFunc(t.items, func(_ Item, r *itemRecord) bool {
		return now.Sub(r.lastEnd) > EndsKeptFor && !now.Before(r.refusedUntil)
	})
	t.completed.expire(now)
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
		t.evict()
	}
	record := &itemRecord{lastEnd: now}
	t.items[item] = record
	return record
}

// evict drops a quarter of the items: those that are not refused first, and among these
// those under the fewest ends and the oldest ones.
func (t *Table) evict() {
	items := slices.Collect(maps.Keys(t.items))
	slices.SortFunc(items, func(a, b Item) int {
		x, y := t.items[a], t.items[b]
		return cmp.Or(x.refusedUntil.Compare(y.refusedUntil), cmp.Compare(len(x.ends), len(y.ends)), x.lastEnd.Compare(y.lastEnd), cmp.Compare(a, b))
	})
	for _, item := range items[:len(items)/4] {
		delete(t.items, item)
	}
}
