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

// Shape of the work at targets.
const (
	// firstEvent and eventGap pace a stream, callWork a call.
	firstEvent = 15 * time.Millisecond
	eventGap   = 15 * time.Millisecond
	callWork   = 10 * time.Millisecond
	// queueFactor is how many times its slots a target takes: the users' services
	// have a queue of twice their slots.
	queueFactor = 3
)

// Headers of callers that only the emulator knows.
const (
	// HeaderRepeatable marks requests that may run again.
	HeaderRepeatable = "Emulator-Repeatable"
	// HeaderCallersCustomer is what the caller's key stands for.
	HeaderCallersCustomer = "Emulator-Customer"
)

// Target is an engine or a plain service. It is safe for concurrent use.
type Target struct {
	replicas.Target
	ledger   *Ledger
	server   *http.Server
	active   atomic.Int64
	failures atomic.Int64 // requests in a hundred that fail
	doubles  atomic.Int64 // calls in a hundred that are answered twice
	late     atomic.Bool  // orders are carried out late and not answered

	mu           sync.Mutex
	reservations map[string]time.Time
	reserved     int
}

// StartTarget starts a target at an address; port 0 picks one.
func StartTarget(t replicas.Target, ledger *Ledger) (*Target, error) {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return nil, errors.Wrap(err, "emulator")
	}
	t.Address = listener.Addr().String()
	t.Started = time.Now().UnixMilli()
	target := &Target{Target: t, ledger: ledger, reservations: make(map[string]time.Time)}
	target.server = &http.Server{Handler: target, ReadHeaderTimeout: time.Second}
	go func() { _ = target.server.Serve(listener) }() // it ends with Crash
	return target, nil
}

// Crash ends the target at once, with all that it holds.
func (t *Target) Crash() { _ = t.server.Close() }

// FailShare lets some requests in a hundred fail: with a failure, with a broken
// answer, or with none.
func (t *Target) FailShare(percent int) { t.failures.Store(int64(percent)) }

// DoubleShare lets some calls in a hundred be answered twice, the second time a
// little later.
func (t *Target) DoubleShare(percent int) { t.doubles.Store(int64(percent)) }

// LateOrders lets orders go without an answer, and be carried out later.
func (t *Target) LateOrders(late bool) { t.late.Store(late) }

// Reserved returns how many reservations are held.
func (t *Target) Reserved() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := 0
	for id, until := range t.reservations {
		if time.Now().After(until) {
			delete(t.reservations, id)
			continue
		}
		held++
	}
	return held
}

// Reservations returns how many were granted or renewed so far.
func (t *Target) Reservations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserved
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.HeaderTarget) != string(t.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == platform.PathOrder {
		t.order(w, r)
		return
	}
	if r.URL.Path == platform.PathReport {
		_, _ = io.WriteString(w, "{}") // it needs no slot; the caller is gone otherwise
		return
	}
	attempt := r.Header.Get(platform.HeaderAttempt)
	w.Header().Set(platform.HeaderAttempt, attempt)
	t.check(r, attempt)
	active := t.active.Add(1)
	defer t.active.Add(-1)
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d", min(active, int64(t.Slots)), max(active-int64(t.Slots), 0), t.Slots))
	if active > int64(queueFactor*t.Slots) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.run(w, r, attempt)
}

// check looks for what no target may be told.
func (t *Target) check(r *http.Request, attempt string) {
	t.ledger.arrived(t.ID, attempt)
	if r.Header.Get(platform.HeaderKey) != "" {
		t.ledger.Break("request %s reached a target with its key", attempt)
	}
	if got, want := r.Header.Get(platform.HeaderCustomer), r.Header.Get(HeaderCallersCustomer); got != want {
		t.ledger.Break("request %s of customer %q was passed on as of %q", attempt, want, got)
	}
	if left, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline)); err != nil || left <= 0 {
		t.ledger.Break("request %s reached a target with %q ms left", attempt, r.Header.Get(platform.HeaderDeadline))
	}
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, attempt string) {
	if !sleep(r, firstEvent) {
		return
	}
	t.ledger.began(attempt, r.Header.Get(HeaderRepeatable) != "")
	failure := rand.Int64N(100) < t.failures.Load()
	w.Header().Set(platform.HeaderSeal, string(t.ID))
	if r.Header.Get(platform.HeaderTokens) != "" {
		t.stream(w, r, attempt, failure)
		return
	}
	if !sleep(r, callWork) {
		return
	}
	if failure {
		fail(w)
		return
	}
	if rand.Int64N(100) < t.doubles.Load() {
		t.answerTwice(w, attempt)
		return
	}
	_, _ = io.WriteString(w, CallAnswer(attempt)) // the caller is gone otherwise
}

// Times of a second answer, and of the end of its connection.
const (
	secondAnswer = 5 * time.Millisecond
	secondEnds   = 300 * time.Millisecond
)

// answerTwice writes the whole answer twice on the connection, which ends later.
func (t *Target) answerTwice(w http.ResponseWriter, attempt string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.ledger.Break("a connection cannot be taken over: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // all was written
	body := CallAnswer(attempt)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderAttempt, attempt, platform.HeaderSeal, t.ID, len(body), body)
	for _, pause := range []time.Duration{secondAnswer, secondEnds} {
		if _, err := io.WriteString(conn, answer); err != nil {
			return // the caller is gone
		}
		time.Sleep(pause)
	}
}

// fail answers with a failure, or breaks the connection.
func fail(w http.ResponseWriter) {
	if rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	panic(http.ErrAbortHandler)
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, attempt string, failure bool) {
	from := 0
	if last, err := strconv.Atoi(r.Header.Get(platform.HeaderResume)); err == nil {
		from = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	total := StreamLength(attempt)
	for i := from; i < total; i++ {
		if failure && i == from+(total-from)/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // in the middle of an event
			_ = controller.Flush()                 // the same
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, attempt, i); err != nil {
			return
		}
		_ = controller.Flush() // the next write tells
		if !sleep(r, eventGap) {
			return
		}
	}
}

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

// CallAnswer is the body of the answer to a call.
func CallAnswer(attempt string) string { return "done " + attempt }

// StreamLength is how many events the answer to a stream has.
func StreamLength(attempt string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, attempt) // it never fails
	const least, spread = 3, 30
	return least + int(h.Sum32()%spread)
}

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var want struct {
		Operation string `json:"op"`
		ID        string `json:"id"`
		HoldMs    int64  `json:"hold_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&want); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold := time.Duration(want.HoldMs) * time.Millisecond
	switch {
	case want.Operation != "reserve" && want.Operation != "release":
		w.WriteHeader(http.StatusBadRequest)
	case t.late.Load():
		time.AfterFunc(lateLeast+rand.N(lateSpread), func() { t.carryOut(want.Operation, want.ID, hold) })
		panic(http.ErrAbortHandler) // no answer
	default:
		t.carryOut(want.Operation, want.ID, hold)
	}
}

// How late an order may be carried out.
const (
	lateLeast  = 300 * time.Millisecond
	lateSpread = 2 * time.Second
)

func (t *Target) carryOut(operation, id string, hold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if operation == "release" {
		delete(t.reservations, id)
		return
	}
	t.reserved++
	t.reservations[id] = time.Now().Add(hold)
}
