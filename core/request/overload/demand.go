package overload

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant over which the demand is measured: shorter than the
	// peaks, and long enough for several of the longest prompts.
	demandWindow = 2 * time.Second
	// classesPerDoubling is the number of classes within which the gain for an engine's time
	// doubles. A class is either served or refused as a whole, but for the one at the limit.
	classesPerDoubling = 2
	// demandClasses is the number of classes. They cover gains of up to a million tokens a
	// second.
	demandClasses = 20 * classesPerDoubling
)

// Demand measures the work that requests ask of the engines of a service, by what its callers
// gain for the time that it takes.
type Demand struct {
	// work is the decayed sum of the work of each class, in seconds of one engine.
	work [demandClasses]float64
	at   time.Time
}

// class returns the class of work, in seconds of one engine, that is worth value.
func class(value, work float64) int {
	if work <= 0 || value <= 0 {
		return demandClasses - 1
	}
	return min(max(int(classesPerDoubling*math.Log2(value/work)), 0), demandClasses-1)
}

// Add adds the work of a request, in seconds of one engine, that is worth value. Times before
// the last one count as that.
func (d *Demand) Add(value, work float64, now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		for i := range d.work {
			d.work[i] *= decay
		}
		d.at = now
	}
	d.work[class(value, work)] += work
}

// Excess returns the share of the demand in a request's class that engines cannot serve if what
// is worth more for its time goes first: 0 if all is served, 1 if none. capacity is the work that
// they do in a second, in seconds of one engine.
func (d *Demand) Excess(value, work, capacity float64) float64 {
	own := class(value, work)
	left := capacity * demandWindow.Seconds()
	for i := demandClasses - 1; i > own; i-- {
		left -= d.work[i]
	}
	if d.work[own] <= 0 || left >= d.work[own] {
		return 0
	}
	return 1 - max(left, 0)/d.work[own]
}
