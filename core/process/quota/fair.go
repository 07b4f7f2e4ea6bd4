package quota

import (
	"cmp"
	"slices"
)

// Claim is one party's demand on something that is short.
type Claim struct {
	// Weight must be above zero.
	Weight float64
	Demand float64
}

// Level returns the weighted max-min level for a capacity: each claim gets the
// smaller of its demand and its weight times the level. If all demands can be
// met, ok is false and the level has no meaning.
func Level(capacity float64, claims []Claim) (level float64, ok bool) {
	order := make([]Claim, 0, len(claims))
	weight, demand := 0.0, 0.0
	for _, c := range claims {
		if c.Weight <= 0 || c.Demand <= 0 {
			continue
		}
		order = append(order, c)
		weight += c.Weight
		demand += c.Demand
	}
	if demand <= capacity {
		return 0, false
	}
	slices.SortFunc(order, func(a, b Claim) int { return cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight) })
	left := max(0, capacity)
	for _, c := range order {
		if c.Demand/c.Weight > left/weight {
			break
		}
		left -= c.Demand
		weight -= c.Weight
	}
	return left / weight, true
}

// Fair returns what each claim gets of a capacity by weighted max-min. Capacity
// that nobody claims is not handed out.
func Fair(capacity float64, claims []Claim) []float64 {
	level, short := Level(capacity, claims)
	parts := make([]float64, len(claims))
	for i, c := range claims {
		parts[i] = max(0, c.Demand)
		if short {
			parts[i] = min(parts[i], c.Weight*level)
		}
	}
	return parts
}
