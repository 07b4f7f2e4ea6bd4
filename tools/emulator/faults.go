package emulator

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"carobspoke.example/platform"
)

// Fault is a behaviour that a Target shows for a time.
type Fault int

// Faults of targets.
const (
	// Failing makes failingPercent of the requests fail: a call with status 500 or
	// with a closed connection, a stream in the middle of an event.
	Failing Fault = iota
	// AnsweringTwice makes the target answer twicePercent of the calls twice, the
	// second time after duplicateDelay.
	AnsweringTwice
	// LateOrders makes the target execute orders late and without an answer.
	LateOrders
	// Unframed makes the target answer with neither a length nor chunks and end the
	// answer with the connection. It breaks off some of the answers.
	Unframed
	// Leaving makes the target mark all its answers with platform.HeaderLeaving.
	Leaving
	// Refusing makes the target refuse all requests with status 503 and
	// platform.HeaderRetryAfter.
	Refusing

	faultCount
)

// Percentages of the requests to which a fault applies.
const (
	failingPercent = 40
	twicePercent   = 40
)

// Begin starts a fault and returns the function that ends it. If a fault was begun
// more than once, it ends with the last of them.
func (t *Target) Begin(f Fault) (end func()) {
	t.faults[f].Add(1)
	return sync.OnceFunc(func() { t.faults[f].Add(-1) })
}

func (t *Target) has(f Fault) bool { return t.faults[f].Load() > 0 }

// markLeaving marks an answer whose head was not sent yet if the target leaves.
func (t *Target) markLeaving(h http.Header) {
	if t.has(Leaving) {
		h.Set(platform.HeaderLeaving, "1")
	}
}

// Values of platform.HeaderRetryAfter. One in invalidShare is no time that a daemon
// must keep.
const invalidShare = 4

var (
	retryTimes        = []string{"0.7", "1", "1.5", "2", "3"}
	invalidRetryTimes = []string{"", "0", "-1", "soon", "NaN", "1e400", "99999999999999999999"}
)

// refuse answers with status 503 and a time for which the target wants no requests
// of the sender.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request) {
	value := retryTimes[rand.IntN(len(retryTimes))]
	if rand.IntN(invalidShare) == 0 {
		value = invalidRetryTimes[rand.IntN(len(invalidRetryTimes))]
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if valid := err == nil && seconds > 0 && seconds < maxRetrySeconds; valid {
		t.checker.askedForTime(t.ID, t.sender(r).Incarnation, time.Duration(seconds*float64(time.Second)))
	}
	w.Header().Set(platform.HeaderRetryAfter, value)
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// maxRetrySeconds is above all values that a daemon must keep.
const maxRetrySeconds = 60
