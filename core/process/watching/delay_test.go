package watching

import (
	"testing"
	"time"
)

// Heartbeats wait in the socket of a daemon that is paused or short of processor time. Guards
// against taking their confirmations for as recent as the moment at which they are read.
func TestDelayOfMessagesThatWereHeldUp(t *testing.T) {
	const offset = 40 * time.Minute // between the two clocks
	var clocks Clocks[string]
	delay := func(sent, way time.Duration) time.Duration { return clocks.Delay("watcher", sent, sent+offset+way) }
	for n := range 10 {
		if got := delay(time.Duration(n)*400*time.Millisecond, 2*time.Millisecond); got != 0 {
			t.Fatalf("message %d was held up for %s", n, got)
		}
	}
	for _, held := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
		got := delay(4*time.Second, 2*time.Millisecond+held)
		if got > held || got < held-held/10 {
			t.Errorf("%s for a message that was held up for %s", got, held)
		}
	}
	if got := delay(5*time.Second, time.Millisecond); got != 0 {
		t.Errorf("%s for the fastest message", got)
	}
	if got := clocks.Delay("other", 0, time.Hour); got != 0 {
		t.Errorf("%s for the first message of a sender", got)
	}
}

// Guards against the drift of the clocks: it must not look like a growing delay.
func TestDriftOfClocksIsNoDelay(t *testing.T) {
	var clocks Clocks[string]
	const ppm = 100
	for sent := time.Duration(0); sent < 24*time.Hour; sent += time.Second {
		if got := clocks.Delay("watcher", sent, sent+sent*ppm/1e6); got != 0 {
			t.Fatalf("%s after %s", got, sent)
		}
	}
}
