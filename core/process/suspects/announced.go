package suspects

import "time"

// Withdraw drops the refusal of an item by another daemon. A daemon that does not know that
// requests with the item were sound of late withdraws no refusal of one that does.
func (t *Table) Withdraw(item Item, despiteSound bool) {
	if record, ok := t.items[item]; ok && (despiteSound || !record.announcedDespiteSound) {
		record.withdraw()
		t.version++
	}
}

// MergeRefusal adds a refusal of another daemon, which may know that requests with the item
// were sound of late. A daemon that knows of one does not adopt the refusal of another that
// does not. It returns true if the other daemons have to be told of it.
func (t *Table) MergeRefusal(r *Refusal, despiteSound bool, now time.Time) (contested bool) {
	if _, sound := t.SoundAgo(r.Item, now); sound && !despiteSound {
		return true
	}
	until := now.Add(min(r.Remaining, RefusedFor))
	return t.announced(r, lastEndOf(until, now), now, func(record *itemRecord) { record.announceRefusal(until, lastEndOf(until, now), despiteSound) })
}

// IsRefusedDespiteSound reports whether the daemon that refuses an item knows that requests
// with it were sound of late.
func (t *Table) IsRefusedDespiteSound(item Item) bool {
	record, ok := t.items[item]
	return ok && (record.refused && !record.refusedAsUnknown || record.announcedDespiteSound)
}

// MergeSuspicion adds a suspicion of another daemon. It returns true like MergeRefusal.
func (t *Table) MergeSuspicion(r *Refusal, now time.Time) (contested bool) {
	last := now.Add(min(r.Remaining, EndsKeptFor) - EndsKeptFor)
	return t.announced(r, last, now, func(record *itemRecord) {
		if last.After(record.suspectedEnd) {
			record.suspectedEnd = last
		}
	})
}

// lastEndOf returns the time of the last end of an item that is refused until a time. It is
// not before the true one.
func lastEndOf(until, now time.Time) time.Time {
	if until.Sub(now) <= RefusedShortlyFor {
		return until.Add(-RefusedShortlyFor)
	}
	return until.Add(-RefusedFor)
}

// announced adds what another daemon announces of an item with its last end, unless a sound
// request was sent since. It reports whether such a request, or one that was sent not long
// before, is known.
func (t *Table) announced(r *Refusal, last, now time.Time, add func(*itemRecord)) (contested bool) {
	sound := t.sound.last(r.Item)
	if !last.After(sound) {
		return true
	}
	record := t.item(r.Item, now)
	for _, c := range r.Customers {
		record.addCustomer(c)
	}
	add(record)
	t.version++
	return now.Sub(sound) < SoundFor
}
