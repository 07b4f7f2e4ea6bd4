package load

import "time"

// Shape of the correction of prefill rates.
const (
	// paceStep is the relative change for each first token.
	paceStep = 0.02
	// paceLate is how many times its prediction a first token may take
	// before it counts as late.
	paceLate = 1.25
	// paceLeast is the shortest prediction that tells something.
	paceLeast = 200 * time.Millisecond
	// paceMost bounds the correction.
	paceMost = 4.0
)

// pace is how many times slower than told a target, or those of a model, prefill. It follows the
// middle of what is seen and not the mean, since now and then a request waits
// for another daemon's long prefill that no report has told.
type pace struct {
	slower float64 // zero counts as one
}

func (p *pace) factor() float64 { return max(p.slower, 1) }

func (p *pace) observe(predicted, took time.Duration) {
	if predicted < paceLeast {
		return
	}
	step := 1 - paceStep
	if float64(took) > paceLate*float64(predicted) {
		step = 1 + paceStep
	}
	p.slower = min(p.factor()*step, paceMost)
}
