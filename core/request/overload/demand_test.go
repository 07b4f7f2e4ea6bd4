package overload

import (
	"testing"
	"time"
)

// Guards against a peak of long prompts in which those that gain least for the engines' time are
// served and the others are not, and against a demand that is remembered after the peak.
func TestLeastGainForTimeIsExcess(t *testing.T) {
	start := time.Unix(1000, 0)
	var d Demand
	// 30 seconds of work within a second: short prompts gain most, the longest ones least.
	for i := range 10 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		d.Add(20_000, 0.1, at)
		d.Add(200_000, 1, at)
		d.Add(60_000, 1.5, at)
	}
	const engines = 6
	short, long, longest := d.Excess(20_000, 0.1, engines), d.Excess(200_000, 1, engines), d.Excess(60_000, 1.5, engines)
	if short != 0 || long >= longest || longest <= 0 {
		t.Errorf("excess of %g, %g and %g", long, short, longest)
	}
	if more := d.Excess(60_000, 1.5, 100); more != 0 {
		t.Errorf("excess of %g with engines enough", more)
	}
	d.Add(20_000, 0.01, start.Add(time.Minute))
	if after := d.Excess(60_000, 1.5, engines); after != 0 {
		t.Errorf("excess of %g a minute after the peak", after)
	}
}

// Guards against weights and gains of zero, as of requests of unknown size.
func TestDemandWithoutGainOrWork(t *testing.T) {
	var d Demand
	d.Add(0, 1, time.Unix(1000, 0))
	d.Add(1, 0, time.Unix(1000, 0))
	if got := d.Excess(0, 1, 0); got < 0 || got > 1 {
		t.Errorf("excess of %g", got)
	}
}
