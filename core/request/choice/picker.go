package choice

import (
	"math/rand/v2"
	"time"
)

// Bounds of what counts as near-equal.
const (
	// NearTime is the difference of predictions that means nothing.
	NearTime = 50 * time.Millisecond
	// NearShare is the same as a share of the best prediction.
	NearShare = 0.1
	// NearAge is the same as a share of the report's age: what other
	// daemons may have sent in the meantime.
	NearAge = 0.5
)

// Spread takes the near-equal candidate with the smallest offset. Daemons
// stand at different places of the ring, so that they go different ways with
// the same stale report; and since a daemon knows its own dispatches at once,
// its view of the targets that it prefers is better than a report. Equal
// offsets, as when none are known, are left to TwoChoices.
type Spread struct{}

// Pick implements Picker.
func (Spread) Pick(scored []Scored, random *rand.Rand) Scored {
	near := nearEqual(scored)
	nearest := near[:0]
	for _, s := range near {
		if len(nearest) > 0 && s.Candidate.Offset > nearest[0].Candidate.Offset {
			continue
		}
		if len(nearest) > 0 && s.Candidate.Offset < nearest[0].Candidate.Offset {
			nearest = nearest[:0]
		}
		nearest = append(nearest, s)
	}
	return twoOf(nearest, random)
}

// TwoChoices draws two of the near-equal candidates and takes the better.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(scored []Scored, random *rand.Rand) Scored {
	return twoOf(nearEqual(scored), random)
}

func twoOf(near []Scored, random *rand.Rand) Scored {
	if len(near) == 1 {
		return near[0]
	}
	a := near[random.IntN(len(near))]
	b := near[random.IntN(len(near))]
	if b.FirstToken < a.FirstToken {
		return b
	}
	return a
}

func nearEqual(scored []Scored) []Scored {
	best := Best{}.Pick(scored, nil)
	margin := max(
		NearTime,
		time.Duration(NearShare*float64(best.FirstToken)),
		time.Duration(NearAge*float64(best.Candidate.ReportAge)),
	)
	near := make([]Scored, 0, len(scored))
	for _, s := range scored {
		if s.FirstToken <= best.FirstToken+margin {
			near = append(near, s)
		}
	}
	return near
}

// Best takes the lowest prediction, the first of equals. Daemons that see the
// same reports herd with it; it is the naive version of the others.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scored []Scored, _ *rand.Rand) Scored {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.FirstToken < best.FirstToken {
			best = s
		}
	}
	return best
}
