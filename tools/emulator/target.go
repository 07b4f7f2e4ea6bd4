package emulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/process/replicas"
	"carobspoke.example/platform"
	"github.com/pkg/errors"
)

// Durations and queue limit of emulated work.
const (
	// firstEventDelay precedes the execution of every request. A stream then has
	// eventInterval between its events, and a call takes callDuration.
	firstEventDelay = 15 * time.Millisecond
	eventInterval   = 15 * time.Millisecond
	callDuration    = 10 * time.Millisecond
	// queueFactor times its slots is how many requests a target accepts at once:
	// the users' services have a queue of twice their slots.
	queueFactor = 3
)

// Request headers that only the emulator interprets.
const (
	// HeaderRepeatable marks requests that may run more than once.
	HeaderRepeatable = "Emulator-Repeatable"
	// HeaderExpectedCustomer is the customer to which the caller's key belongs.
	HeaderExpectedCustomer = "Emulator-Customer"
)

// Target emulates an engine or a plain service. It is safe for concurrent use.
type Target struct {
	replicas.Target
	checker          *Checker
	server           *http.Server
	active           atomic.Int64
	failurePercent   atomic.Int64
	duplicatePercent atomic.Int64
	lateOrders       atomic.Bool

	mu sync.Mutex
	// reservations maps the IDs of reservations to their expiry.
	reservations map[string]time.Time
	// granted counts reservations granted or renewed since the start.
	granted int
}

// StartTarget starts a target at the address in t. With port 0 the system chooses
// the port, and the returned target has the address in use.
func StartTarget(t replicas.Target, checker *Checker) (*Target, error) {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return nil, errors.Wrap(err, "emulator")
	}
	t.Address = listener.Addr().String()
	t.Started = time.Now().UnixMilli()
	target := &Target{Target: t, checker: checker, reservations: make(map[string]time.Time)}
	target.server = &http.Server{Handler: target, ReadHeaderTimeout: time.Second}
	go func() { _ = target.server.Serve(listener) }() // returns after Crash
	return target, nil
}

// Crash closes the listener and all connections of the target at once.
func (t *Target) Crash() { _ = t.server.Close() }

// SetFailurePercent sets the percentage of requests that fail: a call with status
// 500 or with a closed connection, a stream in the middle of an event.
func (t *Target) SetFailurePercent(percent int) { t.failurePercent.Store(int64(percent)) }

// SetDuplicatePercent sets the percentage of calls that are answered twice, the
// second time after duplicateDelay.
func (t *Target) SetDuplicatePercent(percent int) { t.duplicatePercent.Store(int64(percent)) }

// SetLateOrders makes the target execute orders late and without an answer.
func (t *Target) SetLateOrders(late bool) { t.lateOrders.Store(late) }

// ActiveReservations returns how many reservations are held, and deletes those
// that have expired.
func (t *Target) ActiveReservations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := 0
	for id, expiry := range t.reservations {
		if time.Now().After(expiry) {
			delete(t.reservations, id)
			continue
		}
		active++
	}
	return active
}

// GrantedReservations returns how many reservations were granted or renewed since
// the start.
func (t *Target) GrantedReservations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.granted
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.HeaderTarget) != string(t.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == platform.PathOrder {
		t.handleOrder(w, r)
		return
	}
	if r.URL.Path == platform.PathReport {
		_, _ = io.WriteString(w, "{}") // needs no slot; fails only if the caller has gone
		return
	}
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	t.checkRequest(r, attempt)
	active := t.active.Add(1)
	defer t.active.Add(-1)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", min(active, int64(t.Slots)), max(active-int64(t.Slots), 0), t.Slots))
	if active > int64(queueFactor*t.Slots) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.execute(w, r, attempt)
}

// checkRequest records violations in a request that reached the target: a
// caller's key, a wrong customer, or a deadline that is missing or has passed.
func (t *Target) checkRequest(r *http.Request, attempt string) {
	t.checker.requestArrived(t.ID, attempt)
	if r.Header.Get(platform.HeaderKey) != "" {
		t.checker.RecordViolation("request %s reached a target with its key", attempt)
	}
	if got, want := r.Header.Get(platform.HeaderCustomer), r.Header.Get(HeaderExpectedCustomer); got != want {
		t.checker.RecordViolation("request %s of customer %q was forwarded as customer %q", attempt, want, got)
	}
	if left, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline)); err != nil || left <= 0 {
		t.checker.RecordViolation("request %s reached a target with %q ms left", attempt, r.Header.Get(platform.HeaderDeadline))
	}
}

// execute records the execution of a request and writes its answer.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, attempt string) {
	if !sleep(r, firstEventDelay) {
		return
	}
	t.checker.executionStarted(attempt, r.Header.Get(HeaderRepeatable) != "")
	fails := rand.Int64N(100) < t.failurePercent.Load()
	w.Header().Set(platform.HeaderSeal, string(t.ID))
	if r.Header.Get(platform.HeaderTokens) != "" {
		t.writeStream(w, r, attempt, fails)
		return
	}
	if !sleep(r, callDuration) {
		return
	}
	if fails {
		failCall(w)
		return
	}
	if rand.Int64N(100) < t.duplicatePercent.Load() {
		t.writeTwice(w, attempt)
		return
	}
	_, _ = io.WriteString(w, CallAnswer(attempt)) // fails only if the caller has gone
}

// Delays of a duplicate answer and of the close of its connection.
const (
	duplicateDelay      = 5 * time.Millisecond
	duplicateCloseDelay = 300 * time.Millisecond
)

// writeTwice writes the complete answer twice on the connection, which it closes
// after duplicateCloseDelay.
func (t *Target) writeTwice(w http.ResponseWriter, attempt string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.checker.RecordViolation("a connection cannot be hijacked: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // all is written or the caller has gone
	body := CallAnswer(attempt)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderAttempt, attempt, platform.HeaderSeal, t.ID, len(body), body)
	for _, delay := range []time.Duration{duplicateDelay, duplicateCloseDelay} {
		if _, err := io.WriteString(conn, answer); err != nil {
			return // the caller has gone
		}
		time.Sleep(delay)
	}
}

// failCall answers with status 500 or closes the connection, with equal
// probability.
func failCall(w http.ResponseWriter) {
	if rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	panic(http.ErrAbortHandler)
}

// writeStream writes the events after the last one that the caller has. A stream
// that fails is closed in the middle of an event, half-way through the events
// left.
func (t *Target) writeStream(w http.ResponseWriter, r *http.Request, attempt string, fails bool) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get(platform.HeaderResume)); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	total := StreamLength(attempt)
	for i := first; i < total; i++ {
		if fails && i == first+(total-first)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // an incomplete event
			_ = controller.Flush()                 // an error changes nothing: the connection is closed
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, attempt, i); err != nil {
			return
		}
		_ = controller.Flush() // an error shows at the next write
		if !sleep(r, eventInterval) {
			return
		}
	}
}

// sleep waits for d. It reports whether the request is still open.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// CallAnswer returns the body of the answer to a call.
func CallAnswer(attempt string) string { return "done " + attempt }

// StreamLength returns the number of events in the answer to a stream, 3 to 32.
func StreamLength(attempt string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, attempt) // never fails
	const minEvents, spread = 3, 30
	return minEvents + int(h.Sum32()%spread)
}

// handleOrder executes an order, or schedules it for later without an answer if
// late orders are on.
func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"op"`
		ID        string `json:"id"`
		HoldMs    int64  `json:"hold_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold := time.Duration(order.HoldMs) * time.Millisecond
	switch {
	case order.Operation != "reserve" && order.Operation != "release":
		w.WriteHeader(http.StatusBadRequest)
	case t.lateOrders.Load():
		time.AfterFunc(minOrderDelay+rand.N(orderDelaySpread), func() { t.executeOrder(order.Operation, order.ID, hold) })
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		t.executeOrder(order.Operation, order.ID, hold)
	}
}

// A late order is executed minOrderDelay after its arrival or up to
// orderDelaySpread later.
const (
	minOrderDelay    = 300 * time.Millisecond
	orderDelaySpread = 2 * time.Second
)

// executeOrder grants, renews or releases a reservation.
func (t *Target) executeOrder(operation, id string, hold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if operation == "release" {
		delete(t.reservations, id)
		return
	}
	t.granted++
	t.reservations[id] = time.Now().Add(hold)
}
