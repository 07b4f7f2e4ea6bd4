package load

import "time"

// Parameters of the correction of prefill rates.
const (
	// correctionStep is the relative change for each first token.
	correctionStep = 0.02
	// lateRatio is the ratio of the actual to the predicted time above which a
	// first token counts as late.
	lateRatio = 1.25
	// minPrediction is the shortest predicted time that is compared with the
	// actual time.
	minPrediction = 200 * time.Millisecond
	// maxSlowdown limits the correction.
	maxSlowdown = 4.0
)

// rateCorrection estimates how many times slower than its nominal rate a target,
// or the targets of a model, prefill. It follows the median of the observations
// and not the mean, because some requests wait for a long prefill of another
// daemon that is not in any report yet.
type rateCorrection struct {
	slowdown float64 // zero counts as one
}

func (c *rateCorrection) factor() float64 { return max(c.slowdown, 1) }

// observe adjusts the slowdown by the predicted and the actual time to a first
// token.
func (c *rateCorrection) observe(predicted, actual time.Duration) {
	if predicted < minPrediction {
		return
	}
	step := 1 - correctionStep
	if float64(actual) > lateRatio*float64(predicted) {
		step = 1 + correctionStep
	}
	c.slowdown = min(c.factor()*step, maxSlowdown)
}
