package suspects

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RepeatInterval is the time after which an announcement in force is repeated, for
	// daemons that have started or were cut off. A daemon that has heard it from another
	// within that time does not repeat it.
	RepeatInterval = 2 * time.Second
	// firstRepeat is the time after which an announcement is repeated for the first
	// time. It doubles up to RepeatInterval: a single wave of gossip misses some daemons.
	firstRepeat = 250 * time.Millisecond
	// clearanceRepeat is the time after which a clearance is repeated.
	clearanceRepeat = 400 * time.Millisecond
	// suspicionRepeat is the time after which a suspicion is announced anew, and
	// suspicionRepeatLately the same while the last end is not suspectedLately ago.
	suspicionRepeat       = 5 * RepeatInterval
	suspicionRepeatLately = 900 * time.Millisecond
	suspectedLately       = 3 * time.Second
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// gossipTime is the assumed delay of an announcement. It is added to the age of an
	// announced sound request.
	gossipTime = 200 * time.Millisecond
	// MaxAnnouncements is the maximum number of announcements of each kind that a daemon
	// makes in RepeatInterval.
	MaxAnnouncements = 8
)

// Exchange keeps the table of a daemon and decides which messages it sends to others.
//
// Accusations go to the collectors of the target's service, which thus know the ends that
// hit the requests of all daemons, and decide. Each daemon announces the suspicions, refusals and
// clearances that it knows to all others. So the number of messages that all daemons get
// does not depend on the number of requests that an end cuts off.
//
// It is not safe for concurrent use.
type Exchange struct {
	table *Table
	// unsent are the accusations of this daemon that have changed since Flush.
	unsent map[End]Accusation
	// announcements are the last ones, this daemon's or not.
	announcements map[subject]announcement
	// decided are the refusals that this daemon has announced by its own decision, and
	// withdrawn those of them that it has withdrawn since, with the time.
	decided   map[subject]bool
	withdrawn map[subject]time.Time
	// made counts the announcements of this daemon by kind since windowStart.
	made        map[byte]int
	windowStart time.Time
	lastExpiry  time.Time
	// started is when the daemon started, and forgotten holds by kind a sequence that is
	// not below that of any announcement that was dropped.
	started   time.Time
	forgotten map[byte]uint64
	// peerChanged is when a daemon was last known to have started, returned or left.
	peerChanged time.Time
}

// subject is what an announcement is about.
type subject struct {
	kind byte
	item Item
}

type announcement struct {
	// first is the first sequence that the daemon knew of, sequence the last one.
	first, sequence uint64
	at              time.Time
	// until is when an announced refusal expires.
	until time.Time
	// due is true for one that is to be repeated at once.
	due bool
}

// NewExchange returns an Exchange with an empty table, for a daemon that starts now.
func NewExchange(now time.Time) *Exchange {
	return &Exchange{
		started: now, forgotten: make(map[byte]uint64),
		table: New(), unsent: make(map[End]Accusation), announcements: make(map[subject]announcement),
		decided: make(map[subject]bool), withdrawn: make(map[subject]time.Time), made: make(map[byte]int),
	}
}

// Check returns the refusal that applies to a request, and whether there is one.
func (x *Exchange) Check(r *Request, now time.Time) (Refusal, bool) { return x.table.Check(r, now) }

// MayRetry reports whether a request that was cut off may be sent again.
func (x *Exchange) MayRetry(r *Request, now time.Time) bool { return x.table.MayRetry(r, now) }

// Cut records that an end cut off a request of this daemon. Flush returns the accusation.
func (x *Exchange) Cut(e End, service ServiceHash, r *Request, now time.Time) {
	a := x.table.Cut(e, service, r, now)
	if earlier, ok := x.unsent[e]; ok {
		a.addEarlier(&earlier)
	}
	x.unsent[e] = a
}

// Flush returns the accusations of this daemon that have changed, for the collectors. If
// it is one of them, they are for its own Accused too.
func (x *Exchange) Flush() []Accusation {
	var list []Accusation
	for _, e := range slices.Sorted(maps.Keys(x.unsent)) {
		list = append(list, x.unsent[e])
	}
	clear(x.unsent)
	return list
}

// Sound records a request of this daemon that was sent at sentAt and that a target completed
// or has been answering for AccusedFor, and returns the messages to send.
func (x *Exchange) Sound(r *Request, sentAt, now time.Time) []Message {
	return x.clearAll(x.table.Sound(r, sentAt, now), now)
}

// Accused handles an accusation as a collector.
func (x *Exchange) Accused(a *Accusation, now time.Time) { x.table.Merge(a, now) }

// Receive handles a message of another daemon, and returns the messages to send. It
// returns an error if the message cannot be read. Messages of earlier releases are
// ignored.
func (x *Exchange) Receive(m *Message, now time.Time) ([]Message, error) {
	d, err := decode(m)
	if err != nil || d == nil {
		return nil, err
	}
	about := subject{kind: d.kind, item: d.Item}
	last, known := x.announcements[about]
	if !known {
		last.first = m.Sequence
	}
	x.announcements[about] = announcement{first: last.first, sequence: max(m.Sequence, last.sequence), at: now, until: now.Add(d.Remaining)}
	contested := false
	switch d.kind {
	case clearanceKind:
		x.table.HearSound(d.Item, d.ago+gossipTime, now)
	case suspicionKind:
		contested = x.table.MergeSuspicion(&d.Refusal, now)
	default:
		if d.Remaining == 0 {
			x.table.Withdraw(d.Item, d.kind == despiteSoundKind)
			break
		}
		if !lastEndOf(now.Add(d.Remaining), now).After(x.withdrawn[about]) {
			return x.announce(nil, &notice{kind: d.kind, Refusal: Refusal{Item: d.Item}}, now), nil // the sender has missed the withdrawal
		}
		contested = x.table.MergeRefusal(&d.Refusal, d.kind == despiteSoundKind, now)
	}
	if !contested {
		return nil, nil
	}
	return x.clearAll([]Item{d.Item}, now), nil
}

// clearAll returns the clearances of items.
func (x *Exchange) clearAll(items []Item, now time.Time) []Message {
	var list []Message
	for _, item := range items {
		if ago, sound := x.table.OwnSoundAgo(item, now); sound {
			list = x.announce(list, &notice{kind: clearanceKind, Refusal: Refusal{Item: item}, ago: ago}, now)
		}
	}
	return list
}

// announce appends the message of a notice to a list, unless it was announced within
// RepeatInterval or too many others were. A refusal that has become longer, or is withdrawn,
// is announced at once.
func (x *Exchange) announce(list []Message, d *notice, now time.Time) []Message {
	if now.Sub(x.windowStart) >= RepeatInterval {
		x.windowStart = now
		clear(x.made)
	}
	about := subject{kind: d.kind, item: d.Item}
	last, announced := x.announcements[about]
	until := now.Add(d.Remaining)
	changed := d.isRefusal() && (d.Remaining == 0 || until.Sub(last.until) > RepeatInterval)
	if x.made[d.kind] >= MaxAnnouncements || announced && !changed && !last.due && now.Sub(last.at) < repeatAfter(d, last.sequence-last.first) {
		return list
	}
	x.made[d.kind]++
	if !announced {
		last.sequence = x.base(d.kind)
		last.first = last.sequence + 1
	}
	next := announcement{first: last.first, sequence: last.sequence + d.sequenceStep(), at: now, until: until}
	x.announcements[about] = next
	return append(list, encode(d, next.sequence))
}

const (
	// sequenceInterval is the time between the sends of two sound requests from which their
	// clearances have different sequences.
	sequenceInterval = 50 * time.Millisecond
	// sequenceEpoch is the Unix time in seconds of the base of sequences zero, and
	// sequencePeriod the number of seconds after which daemons that start have a higher one.
	sequenceEpoch  = 1767225600 // 2026-01-01
	sequencePeriod = 4
	// sequencesPerPeriod and clearancesPerPeriod bound the sequences of an item in
	// sequencePeriod. Sequences are part of each datagram.
	sequencesPerPeriod  = 1 << 3
	clearancesPerPeriod = 1 << 13
)

// sequencesIn returns the bound of the sequences of an item of a kind in sequencePeriod.
func sequencesIn(kind byte) uint64 {
	if kind == clearanceKind {
		return clearancesPerPeriod
	}
	return sequencesPerPeriod
}

// base returns the sequence to begin after if no announcement of an item is known. It follows
// the wall clock at the start, so that it is above what peers have seen of an earlier process
// unless that is as recent as the error of the clock: then it is repeated, and heard. Daemons
// that start together have equal ones, so that their first announcements of an item are one.
func (x *Exchange) base(kind byte) uint64 {
	period := uint64(max(x.started.Unix()-sequenceEpoch, 0) / sequencePeriod)
	return max(period*sequencesIn(kind), x.forgotten[kind])
}

// forget drops the announcements that are older than the ends that they may be about. The
// sequences of peers stay above theirs.
func (x *Exchange) forget(now time.Time) {
	maps.DeleteFunc(x.announcements, func(about subject, a announcement) bool {
		if now.Sub(a.at) <= EndsKeptFor {
			return false
		}
		step := sequencesIn(about.kind)
		x.forgotten[about.kind] = max(x.forgotten[about.kind], (a.sequence+step-1)/step*step)
		return true
	})
}

// sequenceStep returns by how much the sequence of an announcement exceeds the last one. Of
// several clearances at a time the one of the latest sound request has the highest sequence.
func (d *notice) sequenceStep() uint64 {
	if d.kind != clearanceKind {
		return 1
	}
	return 1 + uint64(max(SoundFor-d.ago, 0)/sequenceInterval)
}

// repeatAfter returns the time after which an announcement is repeated. earlier is the number
// of announcements of the item before it. A suspicion is repeated while targets end, since the
// daemons that have sent sound requests meanwhile have to answer, and then seldom: it saves
// retries only.
func repeatAfter(d *notice, earlier uint64) time.Duration {
	switch {
	case d.kind == clearanceKind:
		return clearanceRepeat // newer sound requests replace it
	case d.kind == suspicionKind && earlier == 0:
		return SettleTime / 3
	case d.kind == suspicionKind && EndsKeptFor-d.Remaining < suspectedLately:
		return suspicionRepeatLately
	case d.kind == suspicionKind:
		return suspicionRepeat
	}
	interval := firstRepeat
	for ; earlier > 0 && interval < RepeatInterval; earlier-- {
		interval *= 2
	}
	return min(interval, RepeatInterval)
}

// Tick drops what has expired, and returns the refusals and suspicions to announce, those
// announced longest ago first. It is called every TickInterval.
func (x *Exchange) Tick(now time.Time) []Message {
	if now.Sub(x.lastExpiry) >= RepeatInterval {
		x.lastExpiry = now
		x.table.Expire(now)
		x.forget(now)
		maps.DeleteFunc(x.withdrawn, func(_ subject, at time.Time) bool { return now.Sub(at) > EndsKeptFor })
	}
	list := x.withdraw(now)
	if x.table.Size() == 0 {
		return list
	}
	var due []notice
	for _, r := range x.table.Refusals(now) {
		kinds := []byte{refusalKind}
		if len(r.Customers) > 1 {
			kinds[0] = generalRefusalKind
		}
		if x.table.IsRefusedDespiteSound(r.Item) {
			kinds = append(kinds, despiteSoundKind)
		}
		for _, kind := range kinds {
			due = append(due, notice{kind: kind, Refusal: r})
			if about := (subject{kind: kind, item: r.Item}); x.table.Decides(r.Item, now) {
				x.decided[about] = true
				delete(x.withdrawn, about)
			}
		}
	}
	for _, r := range x.table.Suspicions(now) {
		if !slices.ContainsFunc(due, func(d notice) bool { return d.Item == r.Item }) {
			due = append(due, notice{kind: suspicionKind, Refusal: r}) // a refusal stops retries, too
		}
	}
	at := func(d *notice) time.Time {
		a := x.announcements[subject{kind: d.kind, item: d.Item}]
		if a.due {
			return time.Time{}
		}
		return a.at
	}
	slices.SortStableFunc(due, func(a, b notice) int { return at(&a).Compare(at(&b)) })
	for i := range due {
		list = x.announce(list, &due[i], now)
	}
	return list
}

// withdraw returns the withdrawals of this daemon's refusals that its ends no longer show.
func (x *Exchange) withdraw(now time.Time) []Message {
	var list []Message
	for _, about := range slices.SortedFunc(maps.Keys(x.decided), func(a, b subject) int { return cmp.Compare(a.item, b.item) }) {
		if x.table.Decides(about.item, now) {
			continue
		}
		delete(x.decided, about)
		x.withdrawn[about] = now
		if !now.Before(x.announcements[about].until) {
			continue
		}
		x.table.Withdraw(about.item, about.kind == despiteSoundKind)
		list = x.announce(list, &notice{kind: about.kind, Refusal: Refusal{Item: about.item}}, now)
	}
	return list
}

// PeerChanged records that a daemon has started, returned or left. The refusals in force are
// due to be announced, since a wave of gossip may have missed it.
func (x *Exchange) PeerChanged(now time.Time) {
	if now.Sub(x.peerChanged) < firstRepeat {
		return
	}
	x.peerChanged = now
	for about, a := range x.announcements {
		if (&notice{kind: about.kind}).isRefusal() {
			a.due = true
			x.announcements[about] = a
		}
	}
}

// Refusals returns the refusals in force, ordered by item.
func (x *Exchange) Refusals(now time.Time) []Refusal { return x.table.Refusals(now) }

// Basis returns what is known of an item, for the log.
func (x *Exchange) Basis(item Item, now time.Time) Basis { return x.table.Basis(item, now) }

// Counts are the numbers of items of a table, for metrics.
type Counts struct {
	// Accused is the number of items under an end or refused, Refused the number of the
	// latter.
	Accused, Refused int
}

// Counts returns the present numbers.
func (x *Exchange) Counts(now time.Time) Counts {
	return Counts{Accused: x.table.Size(), Refused: len(x.table.Refusals(now))}
}
