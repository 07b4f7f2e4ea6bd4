package suspects

import (
	"cmp"
	"slices"
	"time"
)

// itemRecord is what is known against an item.
type itemRecord struct {
	// ends are the ends that accuse the item, since the last sound request with it was
	// sent, ordered by time.
	ends      []itemEnd
	services  []ServiceHash
	customers []CustomerHash
	// common and rare count the accusations that report the item with this frequency.
	common, rare int
	// refused is true once this daemon has refused the item by these ends.
	refused bool
	// refusedAsUnknown is true if this daemon knew of no recent sound request then, and
	// exposed if sound requests would have been known by then.
	refusedAsUnknown, exposed bool
	// endedAgain is true if an end came after the item had been refused for a short time.
	endedAgain bool
	// evidence is the result of Table.evidence as of the version evidenceAt of the table.
	evidence   float64
	evidenceAt uint64
	// refusedUntil and refusedEnd are the end of the refusal that another daemon has
	// announced and the time of the item's last end, as far as it follows from that.
	refusedUntil, refusedEnd time.Time
	// announcedDespiteSound is true if that daemon knew of recent sound requests.
	announcedDespiteSound bool
	// suspectedEnd is the time of the item's last end according to the suspicion of
	// another daemon.
	suspectedEnd time.Time
	// explained is the result of isExplained as of the version explainedAt of the table.
	explained   bool
	explainedAt uint64
}

// itemEnd is an end that accuses an item.
type itemEnd struct {
	end End
	at  time.Time
	// soundRate is the sum of Suspect.SoundRate of the daemons that accuse the item, sound
	// that of their sound requests of late.
	soundRate float64
	sound     share
	// requests is the number of requests with the item that the end cut off.
	requests int
}

// accuse adds an end to a record, unless it is known.
func (r *itemRecord) accuse(a *Accusation, s *Suspect, at time.Time) {
	r.addCustomer(s.Customer)
	switch s.Frequency {
	case Common:
		r.common++
	case Rare:
		r.rare++
	case Unknown:
	}
	if known := slices.IndexFunc(r.ends, func(e itemEnd) bool { return e.end == a.End }); known >= 0 {
		e := &r.ends[known]
		e.soundRate += s.SoundRate
		e.requests += s.Requests
		e.sound.with, e.sound.all = e.sound.with+s.SoundWith, e.sound.all+s.SoundAll
		return
	}
	if len(r.ends) >= maxItemEnds {
		return
	}
	r.endedAgain = r.endedAgain || r.refused && at.Sub(r.lastEnd()) >= RefusedShortlyFor
	r.ends = append(r.ends, itemEnd{end: a.End, at: at, soundRate: s.SoundRate, sound: share{s.SoundWith, s.SoundAll}, requests: s.Requests})
	slices.SortStableFunc(r.ends, func(a, b itemEnd) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.end, b.end)) })
	if !slices.Contains(r.services, a.Service) {
		r.services = append(r.services, a.Service)
	}
}

func (r *itemRecord) addCustomer(c CustomerHash) {
	if !slices.Contains(r.customers, c) && len(r.customers) < MaxCustomers {
		r.customers = append(r.customers, c)
	}
}

func (r *itemRecord) hasEnd(e End) bool {
	return slices.ContainsFunc(r.ends, func(known itemEnd) bool { return known.end == e })
}

// lastEnd returns the time of the last end, zero if there is none.
func (r *itemRecord) lastEnd() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].at
}

// lastKnown returns the time of the last end that this daemon or another knows.
func (r *itemRecord) lastKnown() time.Time {
	return slices.MaxFunc([]time.Time{r.lastEnd(), r.refusedEnd, r.suspectedEnd}, time.Time.Compare)
}

// soundRate returns the highest rate of sound requests, per second, that the accusations of
// one end report together. It is a lower bound of the fleet's rate.
func (r *itemRecord) soundRate() (most float64) {
	for _, e := range r.ends {
		most = max(most, e.soundRate)
	}
	return most
}

// isCommon reports whether no majority of the accusations reports the item as rare.
func (r *itemRecord) isCommon() bool { return r.common >= r.rare }

// dropBefore drops what is known from before a time, and reports whether there was any.
func (r *itemRecord) dropBefore(at time.Time) (dropped bool) {
	first := slices.IndexFunc(r.ends, func(e itemEnd) bool { return e.at.After(at) })
	if first < 0 {
		first = len(r.ends)
	}
	dropped = first > 0
	r.ends = slices.Delete(r.ends, 0, first)
	if len(r.ends) < EndsToRefuse {
		r.accept()
	}
	if !r.refusedUntil.IsZero() && !r.refusedEnd.After(at) {
		r.withdraw()
		dropped = true
	}
	if !r.suspectedEnd.After(at) {
		r.suspectedEnd = time.Time{}
	}
	return dropped
}

// accept ends the refusal by this daemon.
func (r *itemRecord) accept() {
	r.refused, r.refusedAsUnknown, r.exposed, r.endedAgain = false, false, false, false
}

// isEmpty reports whether nothing is known against the item.
func (r *itemRecord) isEmpty() bool {
	return len(r.ends) == 0 && r.refusedUntil.IsZero() && r.suspectedEnd.IsZero()
}

// announceRefusal adds a refusal of another daemon.
func (r *itemRecord) announceRefusal(until, lastEnd time.Time, despiteSound bool) {
	r.announcedDespiteSound = r.announcedDespiteSound || despiteSound
	if until.After(r.refusedUntil) {
		r.refusedUntil, r.refusedEnd = until, lastEnd
	}
}

// withdraw drops the refusal of another daemon.
func (r *itemRecord) withdraw() { r.refusedUntil, r.announcedDespiteSound = time.Time{}, false }

// announcedUntil returns until when another daemon refuses the item, zero if none does.
func (r *itemRecord) announcedUntil() time.Time { return r.refusedUntil }

// suspectUntil returns until when the item is suspect according to other daemons.
func (r *itemRecord) suspectUntil() time.Time {
	if r.suspectedEnd.IsZero() {
		return time.Time{}
	}
	return r.suspectedEnd.Add(EndsKeptFor)
}
