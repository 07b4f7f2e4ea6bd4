package class

import "math"

// Size of a sketch.
const (
	// growth is the ratio of two neighbouring buckets' bounds, and so the
	// relative error of a quantile.
	growth = 1.1
	// buckets cover values up to growth^buckets, about 19 million.
	buckets = 176
	// memory is the number of additions after which an old one has faded to
	// a third.
	memory = 1024
)

// sketch is a histogram with logarithmic buckets and fading weights.
type sketch struct {
	weights [buckets]float64
	// unit is the weight of a new observation. It grows instead of all the
	// others shrinking.
	unit float64
}

func (s *sketch) add(value int, weight float64) {
	if s.unit == 0 {
		s.unit = 1
	}
	s.unit *= 1 + 1.0/memory
	if s.unit > math.MaxInt32 {
		s.rescale()
	}
	s.weights[bucketOf(value)] += weight * s.unit
}

func (s *sketch) rescale() {
	for i := range s.weights {
		s.weights[i] /= s.unit
	}
	s.unit = 1
}

// quantile returns the upper bound of the bucket in which the share q of all
// weight is reached; zero for an empty sketch.
func (s *sketch) quantile(q float64) int {
	var total float64
	for _, w := range s.weights {
		total += w
	}
	if total == 0 {
		return 0
	}
	var sum float64
	for i, w := range s.weights {
		sum += w
		if sum >= q*total {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

// below returns the share of all weight in the buckets up to that of a value.
func (s *sketch) below(value int) float64 {
	var total, sum float64
	last := bucketOf(value)
	for i, w := range s.weights {
		total += w
		if i <= last {
			sum += w
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

func bucketOf(value int) int {
	if value <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(value)) / math.Log(growth)))
	return min(i, buckets-1)
}

func upperBound(i int) int { return int(math.Pow(growth, float64(i))) }
