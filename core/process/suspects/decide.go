package suspects

import (
	"cmp"
	"slices"
	"time"
)

// Basis is what a daemon knows of a refused item, for the log.
type Basis struct {
	// Decided is true if this daemon refuses the item by the ends that it knows, and not
	// only because another daemon has announced it.
	Decided bool
	// Ends is the number of ends that accuse the item. FirstEndAgo and LastEndAgo are the
	// times since the first and the last of them, zero if there is none.
	Ends                    int
	FirstEndAgo, LastEndAgo time.Duration
	// SoundAgo is the time since the last sound request with the item was sent, negative if
	// none of late is known.
	SoundAgo time.Duration
	// Common is true if the accusations say that many requests have the item.
	Common bool
	// Evidence is the evidence against the item, see Table.evidence.
	Evidence float64
}

// Basis returns what is known of an item. It is empty for one without a record.
func (t *Table) Basis(item Item, now time.Time) Basis {
	r, ok := t.items[item]
	if !ok {
		return Basis{SoundAgo: -1}
	}
	b := Basis{Decided: t.Decides(item, now), Ends: len(r.ends), SoundAgo: -1, Common: r.isCommon(), Evidence: t.evidence(r)}
	if ago, sound := t.SoundAgo(item, now); sound {
		b.SoundAgo = ago
	}
	if len(r.ends) > 0 {
		b.FirstEndAgo, b.LastEndAgo = now.Sub(r.ends[0].at), now.Sub(r.lastEnd())
	}
	return b
}

// Decides reports whether this daemon refuses an item by the ends that it knows.
func (t *Table) Decides(item Item, now time.Time) bool {
	record, ok := t.items[item]
	return ok && now.Before(t.decided(item, record, now)) && !t.isExplained(item, record, now)
}

// decided returns until when this daemon refuses an item by the ends that it knows, zero if
// it does not.
func (t *Table) decided(item Item, r *itemRecord, now time.Time) time.Time {
	if len(r.ends) < EndsToRefuse {
		r.accept()
		return time.Time{}
	}
	_, sound := t.SoundAgo(item, now)
	if r.refused && r.refusedAsUnknown && sound {
		r.accept() // sound requests have become known since
		t.version++
	}
	if !r.refused {
		settled, exposed := t.isSettled(item, r, now)
		if !settled || !t.isInEnoughEnds(r) {
			return time.Time{}
		}
		r.refused, r.refusedAsUnknown, r.exposed = true, !sound, exposed
		t.version++
	}
	if !t.isProved(r) {
		return r.lastEnd().Add(RefusedShortlyFor)
	}
	return r.lastEnd().Add(RefusedFor)
}

// isSettled reports whether an item may be refused: a sound request with it would be known by
// now if it did not crash targets, or the ends alone are evidence enough. exposed is true in
// the first case.
func (t *Table) isSettled(item Item, r *itemRecord, now time.Time) (settled, exposed bool) {
	soundAgo, _ := t.SoundAgo(item, now)
	sinceEnd := func(e *itemEnd) time.Duration { return now.Sub(e.at) }
	if !t.isOverdue(item, r, r.ends, now, soundAgo, sinceEnd) {
		return false, false // exposure is at most the time since the end
	}
	sinceServed := func(e *itemEnd) time.Duration { return t.exposure(e, now) }
	third := sinceServed(&r.ends[EndsToRefuse-1])
	if third >= SoundSettleTime && t.isOverdue(item, r, t.distinctEnds(r), now, min(soundAgo, third), sinceServed) {
		return true, true
	}
	return t.isSurprising(r) || r.rounds() >= minRounds, false
}

// isOverdue reports whether a sound request with an item would be known by now. quiet is for
// how long none was known although some could have been sent, and since returns the same for
// the time after an end.
func (t *Table) isOverdue(item Item, r *itemRecord, ends []itemEnd, now time.Time, quiet time.Duration, since func(*itemEnd) time.Duration) bool {
	if len(ends) < EndsToRefuse {
		return false
	}
	third := since(&ends[EndsToRefuse-1])
	_, sound := t.SoundAgo(item, now)
	switch {
	case !sound && t.isTied(item, r, now):
		return third >= TiedSettleTime
	case !sound:
		return third >= SettleTime
	case len(ends) >= EndsToRefuseLong && since(&ends[EndsToRefuseLong-1]) >= LongSettleTime:
		return true
	default:
		missing := r.soundRate() * (quiet - usualSoundTime).Seconds()
		return !r.isCommon() && third >= SoundSettleTime && missing >= overdueRequests
	}
}

// isTied reports whether another item without sound requests of late is in the same ends.
func (t *Table) isTied(item Item, r *itemRecord, now time.Time) bool {
	for candidate, other := range t.items {
		if candidate == item || !slices.EqualFunc(r.ends, other.ends, func(a, b itemEnd) bool { return a.end == b.end }) {
			continue
		}
		if _, sound := t.SoundAgo(candidate, now); !sound {
			return true
		}
	}
	return false
}

// isInEnoughEnds reports whether an item is in enough of the ends of its services since its
// first one.
func (t *Table) isInEnoughEnds(r *itemRecord) bool {
	all := 0
	for _, end := range t.ends {
		if !end.at.Before(r.ends[0].at) && slices.Contains(r.services, end.service) {
			all++
		}
	}
	return len(r.ends)*minShare >= all
}

// isExplained reports whether too few ends of a record are left without those of other
// refused items that account for them.
func (t *Table) isExplained(item Item, r *itemRecord, now time.Time) bool {
	if len(r.ends) == 0 {
		return false
	}
	if r.explainedAt == t.version {
		return r.explained
	}
	left, accounted := slices.Clone(r.ends), make(map[End]bool)
	for candidate, other := range t.items {
		if other == r || !t.accountsFor(candidate, item, now) || !now.Before(t.decided(candidate, other, now)) {
			continue
		}
		for _, e := range other.ends {
			accounted[e.end] = true
		}
	}
	left = slices.DeleteFunc(left, func(e itemEnd) bool { return accounted[e.end] })
	r.explained = len(left) < min(len(r.ends), EndsToRefuse) ||
		r.refused && !r.exposed && len(left) < len(r.ends) && t.evidenceBy(r, accounted) < r.minEvidence(false)
	r.explainedAt = t.version
	return r.explained
}

// accountsFor reports whether the ends of an item, if it is refused, are no evidence against
// another one: it is more suspicious, or it is as suspicious and in more ends, or in as many
// with clearly more evidence.
func (t *Table) accountsFor(item, other Item, now time.Time) bool {
	a, b := t.items[item], t.items[other]
	switch cmp.Or(cmp.Compare(t.prior(item, now), t.prior(other, now)), cmp.Compare(len(a.ends), len(b.ends))) {
	case 1:
		return true
	case 0:
		return len(a.ends) >= EndsToRefuse && t.evidence(a) >= t.evidence(b)+clearlyMoreEvidence
	default:
		return false
	}
}

// prior returns how suspicious an item is apart from its ends. Higher is more suspicious.
func (t *Table) prior(item Item, now time.Time) int {
	_, sound := t.SoundAgo(item, now)
	switch {
	case !sound:
		return 2 // nothing speaks for it
	case !t.items[item].isCommon():
		return 1
	default:
		return 0 // in most ends of any cause
	}
}
