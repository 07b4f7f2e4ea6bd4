package choice

import (
	"math/rand/v2"
	"time"
)

// Candidates are near-equal if their predictions exceed the best one by no more
// than the largest of these margins.
const (
	// NearEqualTime is a fixed margin.
	NearEqualTime = 50 * time.Millisecond
	// NearEqualShare is a margin as a share of the best prediction.
	NearEqualShare = 0.1
	// NearEqualAgeShare is a margin as a share of the age of the best
	// candidate's report. It allows for the dispatches of other daemons since
	// the report was taken.
	NearEqualAgeShare = 0.5
)

// NearestOnRing selects the near-equal candidate with the smallest offset.
// Daemons have different positions on the ring, so that they select different
// targets when they see the same stale report. In addition, a daemon counts its
// own dispatches at once, so that for the targets it prefers its view is more
// current than a report. Among equal offsets, as when they are unknown, it
// selects like TwoChoices.
type NearestOnRing struct{}

// Pick implements Picker.
func (NearestOnRing) Pick(scored []ScoredCandidate, random *rand.Rand) ScoredCandidate {
	near := nearEqual(scored)
	nearest := near[:0]
	for _, s := range near {
		if len(nearest) > 0 && s.Candidate.RingOffset > nearest[0].Candidate.RingOffset {
			continue
		}
		if len(nearest) > 0 && s.Candidate.RingOffset < nearest[0].Candidate.RingOffset {
			nearest = nearest[:0]
		}
		nearest = append(nearest, s)
	}
	return betterOfTwo(nearest, random)
}

// TwoChoices selects the better of two random near-equal candidates.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(scored []ScoredCandidate, random *rand.Rand) ScoredCandidate {
	return betterOfTwo(nearEqual(scored), random)
}

// betterOfTwo returns the better of two candidates drawn at random, which may
// be the same one.
func betterOfTwo(near []ScoredCandidate, random *rand.Rand) ScoredCandidate {
	if len(near) == 1 {
		return near[0]
	}
	a := near[random.IntN(len(near))]
	b := near[random.IntN(len(near))]
	if b.TimeToFirstToken < a.TimeToFirstToken {
		return b
	}
	return a
}

// nearEqual returns the candidates whose prediction is near-equal to the best.
func nearEqual(scored []ScoredCandidate) []ScoredCandidate {
	best := LowestPrediction{}.Pick(scored, nil)
	margin := max(
		NearEqualTime,
		time.Duration(NearEqualShare*float64(best.TimeToFirstToken)),
		time.Duration(NearEqualAgeShare*float64(best.Candidate.ReportAge)),
	)
	near := make([]ScoredCandidate, 0, len(scored))
	for _, s := range scored {
		if s.TimeToFirstToken <= best.TimeToFirstToken+margin {
			near = append(near, s)
		}
	}
	return near
}

// LowestPrediction selects the candidate with the lowest prediction, the first
// of equals. Daemons that see the same reports all select the same target with
// it. It is the baseline for the other pickers.
type LowestPrediction struct{}

// Pick implements Picker.
func (LowestPrediction) Pick(scored []ScoredCandidate, _ *rand.Rand) ScoredCandidate {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.TimeToFirstToken < best.TimeToFirstToken {
			best = s
		}
	}
	return best
}
