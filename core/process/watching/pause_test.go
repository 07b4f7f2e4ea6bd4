package watching

import (
	"testing"
	"time"
)

// Guards against requests that a daemon sends after a pause by records that the others have
// replaced, against a wait where there was none, and against one that does not end during an
// outage.
func TestDaemonWaitsAfterPause(t *testing.T) {
	const tick = 200 * time.Millisecond
	var p Pause
	now := start
	check := func(what string, recent, want bool) {
		t.Helper()
		if got := p.MustWait(recent, now); got != want {
			t.Errorf("%s: must wait %t, want %t", what, got, want)
		}
	}
	check("just started", false, false)
	for range 20 {
		now = now.Add(tick)
		p.Ran(now)
		check("an outage without a pause", false, false)
	}
	now = now.Add(pauseTime + tick)
	check("a request is the first to run", false, true)
	check("a confirmation has arrived", true, false)
	now = now.Add(ResumeTime)
	check("an outage after a pause", false, false)
	now = now.Add(10 * time.Second)
	p.Ran(now)
	now = now.Add(tick)
	check("another one ran first", false, true)
}
