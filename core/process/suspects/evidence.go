package suspects

import (
	"math"
	"slices"
	"time"
)

const (
	// minEvidence is the evidence from which an item is refused although no sound request
	// could have shown since its ends: other causes account for them 20 times worse. From
	// minEvidenceLong on, 150 times, it is refused for long.
	minEvidence     = 3
	minEvidenceLong = 5
	// minEvidenceUnknown and minEvidenceUnknownLong are the same while daemons know too few sound
	// requests to say how many have the item.
	minEvidenceUnknown     = 1.2
	minEvidenceUnknownLong = 2.7
	// clearlyMoreEvidence is by how much the evidence against one of two items in equally
	// many ends exceeds the other's if it accounts for these ends.
	clearlyMoreEvidence = 1
	// maxGap is the longest time without a sound request of a service that is no
	// interruption.
	maxGap = time.Second
	// minRounds is the number of times at which targets ended under an item, maxGap apart,
	// from which it is refused for a short time although no sound request could have shown.
	minRounds = EndsToRefuseLong
	// minApart is the shortest time between two ends that count as two without evidence
	// against the item: many targets may end at once by another cause.
	minApart = 40 * time.Millisecond
)

// share is how many of some requests have an item.
type share struct{ with, all int }

// value returns the share as a number between 0 and 1, exclusive. It is 1/2 of no requests.
func (s share) value() float64 { return (float64(s.with) + 0.5) / (float64(s.all) + 1) }

// evidence returns the evidence against an item by all its ends.
func (t *Table) evidence(r *itemRecord) float64 {
	if r.evidenceAt != t.version {
		r.evidence, r.evidenceAt = t.evidenceBy(r, nil), t.version
	}
	return r.evidence
}

// evidenceBy returns the natural logarithm of how much better the ends of the item's services
// are accounted for if the item crashes targets than if they have other causes and cut off
// whatever is in flight. An item that all requests have is in all ends of any cause: there is
// no evidence against it. The many items that few requests have are each as much less likely
// to be the cause. Ends that are accounted for otherwise are left out.
func (t *Table) evidenceBy(r *itemRecord, accounted map[End]bool) float64 {
	if len(r.ends) == 0 {
		return 0
	}
	type cutOff struct{ with, others int }
	var ends []cutOff
	hits, s := 0, r.soundShare()
	for id, e := range t.ends {
		if e.at.Before(r.ends[0].at) || accounted[id] || !slices.Contains(r.services, e.service) {
			continue
		}
		c := cutOff{others: e.requests}
		if own := slices.IndexFunc(r.ends, func(known itemEnd) bool { return known.end == id }); own >= 0 {
			hits++
			// One request with the item is taken for the cause, the others are a sample.
			c.with = max(r.ends[own].requests, 1)
			c.others = max(e.requests, c.with) - 1
			s.with += c.with - 1
		}
		s.all += c.others
		ends = append(ends, c)
	}
	if hits == 0 {
		return 0
	}
	part, chance := s.value(), 0.0
	for _, c := range ends {
		// Of several requests with the item one counts: they may have come together.
		requests := max(c.others-max(c.with-1, 0)+min(c.with, 1), 1)
		chance += (1 - math.Pow(1-part, float64(requests))) / float64(len(ends))
	}
	return float64(len(ends))*divergence(float64(hits)/float64(len(ends)), chance) + math.Log(part)
}

// divergence returns the Kullback-Leibler divergence in nats between two probabilities of
// the same event, zero if it was seen less often than expected.
func divergence(seen, expected float64) float64 {
	if seen <= expected {
		return 0
	}
	d := seen * math.Log(seen/expected)
	if seen < 1 {
		d += (1 - seen) * math.Log((1-seen)/(1-expected))
	}
	return d
}

// soundShare returns how many of the sound requests of late have the item. Of the ends it
// takes the one whose daemons know the most requests together.
func (r *itemRecord) soundShare() (most share) {
	for _, e := range r.ends {
		if e.sound.all > most.all {
			most = e.sound
		}
	}
	return most
}

// isSurprising reports whether the ends alone are evidence enough to refuse an item.
func (t *Table) isSurprising(r *itemRecord) bool { return t.evidence(r) >= r.minEvidence(false) }

// minEvidence returns the evidence from which an item is refused by its ends alone.
func (r *itemRecord) minEvidence(long bool) float64 {
	switch unknown := r.soundShare().all < minRequests; {
	case unknown && long:
		return minEvidenceUnknownLong
	case unknown:
		return minEvidenceUnknown
	case long:
		return minEvidenceLong
	default:
		return minEvidence
	}
}

// distinctEnds returns the ends of an item that count: all of them if they are evidence enough, and
// otherwise those that are minApart from one another.
func (t *Table) distinctEnds(r *itemRecord) []itemEnd {
	if t.isSurprising(r) {
		return r.ends
	}
	var list []itemEnd
	for _, e := range r.ends {
		if len(list) == 0 || e.at.Sub(list[len(list)-1].at) >= minApart {
			list = append(list, e)
		}
	}
	return list
}

// isProved reports whether an item is refused for long: sound requests would have shown by
// then if it did not crash targets, or the ends alone are evidence enough. Less is enough if a
// further end came after a short refusal: how often an item is sound that never was is unknown.
func (t *Table) isProved(r *itemRecord) bool {
	switch {
	case len(r.ends) < EndsToRefuseLong:
		return false
	case r.exposed && len(t.distinctEnds(r)) >= EndsToRefuseLong && (!r.refusedAsUnknown || r.endedAgain):
		return true
	default:
		return t.evidence(r) >= r.minEvidence(!r.endedAgain)
	}
}

// recordServed records that a request which was sent at a time was sound: targets of the
// service ran requests then.
func (t *Table) recordServed(service ServiceHash, sentAt time.Time) {
	for id, e := range t.ends {
		if e.service != service || !sentAt.After(e.at) || !e.servedSince.IsZero() && !sentAt.Before(e.servedSince) {
			continue
		}
		e.servedSince = sentAt
		t.ends[id] = e
	}
}

// exposure returns for how long since an end of an item sound requests with it could have been
// sent. While no target runs requests of the service, or this daemon would not know of it,
// that none is known says nothing about the item.
func (t *Table) exposure(e *itemEnd, now time.Time) time.Duration {
	since := t.ends[e.end].servedSince
	switch {
	case since.IsZero():
		return 0
	case since.Sub(e.at) <= maxGap:
		return now.Sub(e.at)
	default:
		return now.Sub(since)
	}
}

// rounds returns the number of groups of ends that are more than maxGap apart.
func (r *itemRecord) rounds() int {
	count := min(len(r.ends), 1)
	for i := 1; i < len(r.ends); i++ {
		if r.ends[i].at.Sub(r.ends[i-1].at) > maxGap {
			count++
		}
	}
	return count
}
