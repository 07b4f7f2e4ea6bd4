package choice

import (
	"math/rand/v2"
	"time"
)

// Bounds of what counts as near-equal.
const (
	// NearTime is the difference of predictions that means nothing.
	NearTime = 20 * time.Millisecond
	// NearShare is the same as a share of the best prediction.
	NearShare = 0.1
	// NearAge is the same as a share of the report's age: what other
	// daemons may have sent in the meantime.
	NearAge = 0.25
)

// TwoChoices draws two of the near-equal candidates and takes the better. Of
// daemons that see the same stale report, each goes its own way, and each
// still avoids the worse half.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(scored []Scored, random *rand.Rand) Scored {
	near := nearEqual(scored)
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
// same reports herd with it; it is the naive version of TwoChoices.
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
