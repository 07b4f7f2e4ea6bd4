package class

import "math"

// Parameters of a sketch.
const (
	// bucketGrowth is the ratio of the bounds of two neighbouring buckets. It
	// limits the relative error of a quantile.
	bucketGrowth = 1.1
	// bucketCount buckets cover values up to bucketGrowth^bucketCount, about
	// 19 million.
	bucketCount = 176
	// decayObservations is the number of additions after which the weight of
	// an observation has decayed to about a third (1/e).
	decayObservations = 1024
)

// sketch is a histogram with logarithmic buckets and exponentially decaying
// weights.
type sketch struct {
	weights [bucketCount]float64
	// currentWeight is the factor for the weight of a new observation. Decay
	// is implemented by increasing it with each observation instead of
	// decreasing all stored weights.
	currentWeight float64
}

// add records a value with a weight.
func (s *sketch) add(value int, weight float64) {
	if s.currentWeight == 0 {
		s.currentWeight = 1
	}
	s.currentWeight *= 1 + 1.0/decayObservations
	if s.currentWeight > math.MaxInt32 {
		s.rescale()
	}
	s.weights[bucketOf(value)] += weight * s.currentWeight
}

// rescale divides all weights by currentWeight, which would overflow otherwise.
func (s *sketch) rescale() {
	for i := range s.weights {
		s.weights[i] /= s.currentWeight
	}
	s.currentWeight = 1
}

// quantile returns the upper bound of the bucket that contains the q quantile of
// the weighted values, or zero for an empty sketch.
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
	return upperBound(bucketCount - 1)
}

// shareUpTo returns the share of the total weight that is in the buckets up to
// and including that of a value.
func (s *sketch) shareUpTo(value int) float64 {
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

// bucketOf returns the index of the bucket that contains a value.
func bucketOf(value int) int {
	if value <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(value)) / math.Log(bucketGrowth)))
	return min(i, bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(i int) int { return int(math.Pow(bucketGrowth, float64(i))) }
