package relay

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// TestTargetIsToldTheTimeLeftAtTheSend has the send of a request wait for recent records, as after
// a pause of the process. Guards against a time left that is read before the wait: the target
// works on when the caller has left.
func TestTargetIsToldTheTimeLeftAtTheSend(t *testing.T) {
	const wait = 200 * time.Millisecond
	target := newFakeServer(t, answersOK("done"))
	f := newFixture(t, target)
	configuration, calls := f.relay.Configuration, atomic.Int32{}
	f.relay.Configuration = func() Configuration {
		if calls.Add(1) > 1 { // the first call is at the arrival of the request
			time.Sleep(wait)
		}
		return configuration()
	}
	began := time.Now()
	if head, _, err := f.call("/read/x", nil); err != nil || head.StatusCode != 200 {
		t.Fatalf("%+v, %v", head, err)
	}
	left, err := strconv.Atoi(target.receivedHeaders()[0].Get("Left"))
	if err != nil {
		t.Fatal(err)
	}
	if most := f.routes[0].Timeout - wait; time.Duration(left)*time.Millisecond > most {
		t.Errorf("the target is told that %d ms are left, want at most %s; the request took %s", left, most, time.Since(began))
	}
}
