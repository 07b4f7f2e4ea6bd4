package emulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
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
	// HeaderSent is when the caller sent the request, in Unix microseconds.
	HeaderSent = "Emulator-Sent"
	// HeaderPadding is the number of bytes by which each event of a stream is padded.
	HeaderPadding = "Emulator-Padding"
)

// Surroundings are what a target is told of the platform around it. All functions may be nil.
type Surroundings struct {
	// Identify returns the daemon to which the address of a connection belongs. If
	// it is nil, the IP address stands for the daemon.
	Identify func(address string) Sender
	// Crashed is called when requests crash the target, before its connections end.
	Crashed func()
	// LinkStable reports whether the way to the target has been undisturbed for
	// StableTime.
	LinkStable func() bool
	// EvacuatedSince returns since when a data centre has been evacuated, or zero.
	EvacuatedSince func(names.DataCentre) time.Time
	// Region is the region of the target, RegionAt that of the target at an address.
	Region   names.Region
	RegionAt func(address string) (names.Region, bool)
	// EventInterval is the time between the events of a stream, eventInterval if zero.
	EventInterval time.Duration
	// Warmup is zero if targets of the service are never cold.
	Warmup Warmup
}

// Target emulates an engine or a plain service. It is safe for concurrent use.
type Target struct {
	replicas.Target
	// Surroundings are set before the target receives requests.
	Surroundings

	checker   *Checker
	server    *http.Server
	active    atomic.Int64
	faults    [faultCount]atomic.Int32
	crashOnce sync.Once

	mu sync.Mutex
	// reservations maps the IDs of reservations to their expiry.
	reservations map[string]time.Time
	// limit is the limit that the target names, in requests per second; zero for none.
	limit float64
	// The target is cold until coldUntil, and the daemons know it from coldBoundFrom on.
	// coldArrivals are the requests since then, of the last coldWindow.
	coldUntil, coldBoundFrom time.Time
	coldArrivals             []time.Time
	// ordered are the IDs of reservations ordered and not released.
	ordered map[string]bool
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
	target := &Target{Target: t, checker: checker, reservations: make(map[string]time.Time), ordered: make(map[string]bool)}
	target.server = &http.Server{Handler: target, ReadHeaderTimeout: time.Second}
	go func() { _ = target.server.Serve(listener) }() // returns after Crash
	return target, nil
}

// Crash closes the listener and all connections of the target at once.
func (t *Target) Crash() { _ = t.server.Close() }

// Active returns how many requests of callers are at the target.
func (t *Target) Active() int { return int(t.active.Load()) }

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
	t.markLeaving(w.Header())
	t.markLimited(w.Header())
	t.markCold(w.Header())
	if r.Header.Get(platform.HeaderTarget) != string(t.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.recordSender(r)
	switch r.URL.Path {
	case platform.PathOrder:
	case platform.PathReport:
		t.checkEvacuated(r, "probe")
	default:
		t.checkEvacuated(r, "request")
		t.checkRegions(r)
		t.checkCold()
		t.serveRequest(w, r)
		return
	}
	if t.has(Refusing) {
		t.refuse(w, r)
		return
	}
	if r.URL.Path == platform.PathOrder {
		t.handleOrder(w, r)
		return
	}
	_, _ = io.WriteString(w, "{}") // needs no slot; fails only if the caller has gone
}

// sender returns the daemon that sent a request.
func (t *Target) sender(r *http.Request) Sender {
	if t.Identify != nil {
		return t.Identify(r.RemoteAddr)
	}
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	return Sender{Incarnation: ip, InTouch: true}
}

// recordSender records a request of any kind by its sender, where a check needs
// it.
func (t *Target) recordSender(r *http.Request) {
	part := t.checker.crashingPartOf(r)
	if part == "" && !t.checker.concernsSender(t.ID) {
		return
	}
	from := t.sender(r)
	if part != "" {
		t.checker.partArrived(part, from)
	}
	var sentAt time.Time
	if us, err := strconv.ParseInt(r.Header.Get(HeaderSent), 10, 64); err == nil {
		sentAt = time.UnixMicro(us)
	}
	t.checker.arrivedFrom(from.Incarnation, t.ID, r.Header.Get(platform.HeaderAttempt), sentAt)
}

// serveRequest serves a request of a caller.
func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	t.checkRequest(r, attempt)
	active := t.active.Add(1)
	defer t.active.Add(-1)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", min(active, int64(t.Slots)), max(active-int64(t.Slots), 0), t.Slots))
	if t.has(Refusing) {
		t.refuse(w, r)
		return
	}
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
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the daemon has gone
	}
	if !sleep(r, firstEventDelay) {
		return
	}
	t.checker.executionStarted(attempt, r.Header.Get(HeaderRepeatable) != "")
	w.Header().Set(platform.HeaderSeal, string(t.ID))
	if isStream(r) {
		w.Header().Set("Content-Type", "text/event-stream")
	} else if !sleep(r, callDuration) {
		return
	}
	t.markLeaving(w.Header()) // the target may leave since the request arrived
	t.markCold(w.Header())
	if w.Header().Get(platform.HeaderLeaving) != "" {
		t.checker.answeredLeaving(t.ID, attempt)
	}
	if t.markLimited(w.Header()) {
		t.checker.answeredLimited(t.ID, attempt)
	}
	t.writeAnswer(w, r, attempt)
}

// writeAnswer writes an answer as the active faults say.
func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, attempt string) {
	fails := t.has(Failing) && rand.IntN(100) < failingPercent
	part := t.checker.crashingPartOf(r)
	switch {
	case part != "":
		t.crashOn(w, r, part, attempt)
	case t.has(Unframed):
		t.writeUnframed(w, r, attempt)
	case isStream(r):
		t.writeStream(w, r, attempt, fails)
	case fails:
		failCall(w)
	case t.has(AnsweringTwice) && rand.IntN(100) < twicePercent:
		t.writeTwice(w, attempt)
	default:
		_, _ = io.WriteString(w, CallAnswer(attempt)) // fails only if the caller has gone
	}
}

// isStream reports whether the answer to a request is a stream of events.
func isStream(r *http.Request) bool { return r.Header.Get(platform.HeaderTokens) != "" }

// firstEvent returns the number of the first event that the caller has not got.
func firstEvent(r *http.Request) int {
	last, err := strconv.Atoi(r.Header.Get(platform.HeaderResume))
	if err != nil {
		return 0
	}
	return last + 1
}

// events returns the events of a stream from the given one on.
func events(attempt string, first int) []string {
	var list []string
	for i := first; i < StreamLength(attempt); i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, attempt, i))
	}
	return list
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
	var header strings.Builder
	_ = w.Header().Write(&header) // a Builder returns no error
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header.String(), len(body), body)
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
	first := firstEvent(r)
	controller := http.NewResponseController(w)
	total := StreamLength(attempt)
	padding := padding(r)
	for i := first; i < total; i++ {
		if fails && i == first+(total-first)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // an incomplete event
			_ = controller.Flush()                 // an error changes nothing: the connection is closed
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d%s\n\n", i, attempt, i, padding); err != nil {
			return
		}
		_ = controller.Flush() // an error shows at the next write
		if !sleep(r, cmp.Or(t.EventInterval, eventInterval)) {
			return
		}
	}
}

// maxPaddingBytes bounds the padding of an event.
const maxPaddingBytes = 1 << 20

// padding returns the spaces that pad each event of the answer.
func padding(r *http.Request) string {
	bytes, err := strconv.Atoi(r.Header.Get(HeaderPadding))
	if err != nil {
		return ""
	}
	return strings.Repeat(" ", min(max(bytes, 0), maxPaddingBytes))
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
	if order.Operation == "reserve" {
		if t.isNewOrder(order.ID) {
			t.checkEvacuated(r, "order "+order.ID)
		}
		t.checkCold()
	}
	switch {
	case order.Operation != "reserve" && order.Operation != "release":
		w.WriteHeader(http.StatusBadRequest)
	case t.has(LateOrders):
		time.AfterFunc(minOrderDelay+rand.N(orderDelaySpread), func() { t.executeOrder(order.Operation, order.ID, hold) })
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		t.executeOrder(order.Operation, order.ID, hold)
	}
}

// isNewOrder reports whether no reservation with this ID was ordered since the last release
// of one. Otherwise the order renews it.
func (t *Target) isNewOrder(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := !t.ordered[id]
	t.ordered[id] = true
	return isNew
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
		delete(t.ordered, id)
		return
	}
	t.granted++
	t.reservations[id] = time.Now().Add(hold)
}
