package watching

import (
	"testing"
	"time"
)

// The first question waits for its connection, or for a daemon that has just started, and all later
// messages arrive at once. Guards against a bound that stays so low for seconds that confirmations
// of the last 0.6 s (WatchTime) count as older than MaxUnconfirmed, so that daemons call the source
// and relays tell that it is lost.
func TestSlowFirstRoundTripIsRepeatedSoon(t *testing.T) {
	const (
		offset    = time.Hour // own clock less the sender's
		way       = time.Millisecond
		slow      = 700 * time.Millisecond // of the question, within the time of a read
		mostStale = time.Second            // HeartbeatTimeout: then the sender counts as silent
	)
	var clocks Clocks[string]
	now := time.Minute
	if !clocks.MustAsk("sender", now-way, offset+now) {
		t.Fatal("the sender is not asked")
	}
	clocks.RoundTrip("sender", offset+now, now+slow)
	known := now + slow + way
	for now = known; now < known+10*time.Second; now += heartbeat {
		sentAt, readAt := now, offset+now+way
		if clocks.MustAsk("sender", sentAt, readAt) {
			clocks.RoundTrip("sender", readAt, sentAt+2*way) // answered at once
		}
		local, ok := clocks.Local("sender", sentAt-WatchTime, readAt)
		if !ok {
			t.Fatal("the clock is not known")
		}
		if age := readAt - local; age > MaxUnconfirmed && now-known > mostStale {
			t.Fatalf("%s after the round trip a confirmation of %s ago counts as %s old", now-known, WatchTime, age)
		}
	}
}
