package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
)

func wantRefusal(t *testing.T, response *answerHead, err error, reason verdict.Reason, v verdict.Verdict) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Header.Get("Reason"); got != string(reason) {
		t.Fatalf("reason %q, status %d, want %s", got, response.StatusCode, reason)
	}
	if got := response.Header.Get("Verdict"); got != v.String() {
		t.Fatalf("verdict %q, want %s", got, v)
	}
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	s := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusTeapot, "Seal: mark\r\nOther: o\r\n", "short and stout")
	})
	f := newFixture(t, s)
	response, body, err := f.call("/order/x", nil)
	if err != nil || body != "short and stout" || response.StatusCode != http.StatusTeapot || response.Header.Get("Seal") != "mark" || response.Header.Get("Other") != "o" {
		t.Fatalf("%v %v %q", err, response, body)
	}
	if got := s.receivedHeaders()[0].Get("Customer"); got != "customer" {
		t.Fatalf("the target got the customer %q", got)
	}
}

// TestNonIdempotentCallRunsOnce checks that a call is not sent again if its
// target closes the connection without an answer: the call may have run.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	a, b := newFakeServer(t, closesWithoutAnswer), newFakeServer(t, answersOK("twice"))
	f := newFixture(t, a, b)
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if len(a.receivedHeaders()) != 1 || len(b.receivedHeaders()) != 0 {
		t.Fatalf("sent %d and %d times", len(a.receivedHeaders()), len(b.receivedHeaders()))
	}
}

func TestNonIdempotentCallIsRetriedAfterRefusal(t *testing.T) {
	refuses := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
	})
	f := newFixture(t, refuses, newFakeServer(t, answersOK("done")))
	if _, body, err := f.call("/order/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	f = newFixture(t, refuses)
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.NoTarget, verdict.NotRun)
}

func TestIdempotentCallIsRetriedAfterFailure(t *testing.T) {
	fails := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusInternalServerError, "Seal: s\r\n", "failed")
	})
	f := newFixture(t, fails, newFakeServer(t, answersOK("done")))
	if _, body, err := f.call("/read/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	f = newFixture(t, fails, newFakeServer(t, closesWithoutAnswer))
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.Ran)
}

// TestRouteLimitsAttempts has two targets that fail, as many as the route
// allows attempts, and a third that would answer.
func TestRouteLimitsAttempts(t *testing.T) {
	servers := []*fakeServer{newFakeServer(t, closesWithoutAnswer), newFakeServer(t, closesWithoutAnswer), newFakeServer(t, answersOK("third"))}
	f := newFixture(t, servers...)
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if len(servers[2].receivedHeaders()) != 0 {
		t.Fatal("a third target ran it")
	}
}

func TestHungIdempotentCallIsRetriedAtAnotherTarget(t *testing.T) {
	hangs := newFakeServer(t, func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) })
	f := newFixture(t, hangs, newFakeServer(t, answersOK("done")))
	began := time.Now()
	if _, body, err := f.call("/read/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("took %s", took)
	}
	if len(f.board.failed) != 1 {
		t.Fatalf("failures recorded for %v", f.board.failed)
	}
}

func TestTimeLeftShrinksWithEachAttempt(t *testing.T) {
	slow := newFakeServer(t, func(net.Conn, *http.Request, int) { time.Sleep(200 * time.Millisecond) })
	second := newFakeServer(t, answersOK("done"))
	f := newFixture(t, slow, second)
	if _, _, err := f.call("/read/x", func(r *http.Request) { r.Header.Set("Left", "1s") }); err != nil {
		t.Fatal(err)
	}
	var first, then int
	_, _ = fmt.Sscan(slow.receivedHeaders()[0].Get("Left"), &first)
	_, _ = fmt.Sscan(second.receivedHeaders()[0].Get("Left"), &then)
	if first > 1000 || then > first-200 || then <= 0 {
		t.Fatalf("time left %d, then %d ms", first, then)
	}
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	hangs := newFakeServer(t, func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) })
	f := newFixture(t, hangs)
	f.routes[1].Timeout = 150 * time.Millisecond
	f.build()
	began := time.Now()
	response, _, err := f.call("/order/x", func(r *http.Request) { r.Header.Set("Left", "5s") })
	wantRefusal(t, response, err, verdict.DeadlineExceeded, verdict.MayHaveRun)
	if took := time.Since(began); took < 140*time.Millisecond || took > 400*time.Millisecond {
		t.Fatalf("answered after %s", took)
	}
}

func TestStreamIsResumedAfterLastCompleteEvent(t *testing.T) {
	first, second := newFakeServer(t, streamsEvents(0, 2, false)), newFakeServer(t, streamsEvents(3, 5, true))
	f := newFixture(t, first, second)
	response, body, err := f.call("/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for i := range 6 {
		fmt.Fprintf(&want, "id: %d\ndata: e%d\n\n", i, i)
	}
	if body != want.String() {
		t.Fatalf("the caller got %q", body)
	}
	if response.Header.Get("Seal") != "s0" {
		t.Fatalf("the header is that of %q", response.Header.Get("Seal"))
	}
	if got := second.receivedHeaders()[0].Get("After"); got != "2" {
		t.Fatalf("resumed after %q", got)
	}
}

func TestCutOfNonResumableStreamIsDetectable(t *testing.T) {
	second := newFakeServer(t, streamsEvents(3, 5, true))
	f := newFixture(t, newFakeServer(t, streamsEvents(0, 2, false)), second)
	_, body, err := f.call("/once/x", nil)
	if err == nil {
		t.Fatalf("a cut stream looks complete: %q", body)
	}
	if len(second.receivedHeaders()) != 0 {
		t.Fatal("the request was sent to a second target")
	}
}

// TestResumedStreamMustContinueWithNextEvent resumes a stream at a target that
// starts again with the first event. Events of the two runs must not be joined.
func TestResumedStreamMustContinueWithNextEvent(t *testing.T) {
	f := newFixture(t, newFakeServer(t, streamsEvents(0, 2, false)), newFakeServer(t, streamsEvents(0, 5, true)))
	_, body, err := f.call("/stream/x", nil)
	if err == nil || strings.Count(body, "id: 0\n") != 1 {
		t.Fatalf("%v %q", err, body)
	}
}

// TestTimeoutDoesNotEndLastAttempt has two streams that pause for longer than
// the timeout after which a stream is resumed at another target. The second is
// the last attempt and must continue.
func TestTimeoutDoesNotEndLastAttempt(t *testing.T) {
	pauses := func(from int) responder {
		return func(conn net.Conn, r *http.Request, _ int) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			writeChunk(conn, fmt.Sprintf("id: %d\n\n", from))
			time.Sleep(minCallerEventTimeout + 300*time.Millisecond)
			writeChunk(conn, fmt.Sprintf("id: %d\n\n", from+1))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
	f := newFixture(t, newFakeServer(t, pauses(0)), newFakeServer(t, pauses(1)))
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || body != "id: 0\n\nid: 1\n\nid: 2\n\n" {
		t.Fatalf("%v %q", err, body)
	}
}

// TestSilenceDoesNotEndAnAttemptThatNoneMayFollow has a stream that pauses for
// too long, a route that allows more attempts and a spent retry budget. Ending
// the attempt would cut off the answer.
func TestSilenceDoesNotEndAnAttemptThatNoneMayFollow(t *testing.T) {
	pauses := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(conn, "id: 0\n\n")
		time.Sleep(minCallerEventTimeout + 300*time.Millisecond)
		writeChunk(conn, "id: 1\n\n")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	f := newFixture(t, pauses, newFakeServer(t, streamsEvents(1, 1, true)))
	for f.budget.TryTake() {
	}
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || body != "id: 0\n\nid: 1\n\n" {
		t.Fatalf("%v %q", err, body)
	}
	if len(f.board.failed) != 1 {
		t.Fatalf("the board recorded %d failures of the hung target, want 1", len(f.board.failed))
	}
}

func TestCallerDisconnectEndsWork(t *testing.T) {
	ended := make(chan struct{})
	s := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(conn, "id: 0\n\n")
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
	})
	f := newFixture(t, s)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /stream/x HTTP/1.1\r\nHost: host.example\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	_, _ = conn.Read(make([]byte, 256))
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works 500 ms after the caller disconnected")
	}
}

func TestWrongTargetAtAddressMeansNotRun(t *testing.T) {
	other := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusMisdirectedRequest, "", "")
	})
	f := newFixture(t, other, newFakeServer(t, answersOK("done")))
	if _, body, err := f.call("/order/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	if len(f.board.failed) != 1 || f.board.failed[0] != names.Target("a") {
		t.Fatalf("failures recorded for %v", f.board.failed)
	}
}

func TestUnsealedSuccessIsRejected(t *testing.T) {
	f := newFixture(t, newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusOK, "", "forged")
	}))
	response, body, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.AnswerMismatch, verdict.MayHaveRun)
	if body != "" {
		t.Fatalf("the caller got %q", body)
	}
}

func TestInvalidRequestsAreNotSent(t *testing.T) {
	s := newFakeServer(t, answersOK("ran"))
	f := newFixture(t, s)
	cases := []struct {
		path   string
		change func(*http.Request)
		reason verdict.Reason
	}{
		{"/nowhere/", nil, verdict.UnknownService},
		{"/read/x", func(r *http.Request) { r.Header.Set("Key", "wrong") }, verdict.Unauthenticated},
		{"/read/x", func(r *http.Request) { r.Header.Del("Key") }, verdict.Unauthenticated},
		{"/read/x", func(r *http.Request) { r.Header.Set("Left", "soon") }, verdict.BadRequest},
		{"/read/x", func(r *http.Request) { r.Header.Set("Long", strings.Repeat("x", 4<<10)) }, verdict.HeaderTooLarge},
		{"/read/x", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<10))), 2<<10
		}, verdict.BodyTooLarge},
	}
	for _, c := range cases {
		response, _, err := f.call(c.path, c.change)
		wantRefusal(t, response, err, c.reason, verdict.NotRun)
	}
	f.recent = false
	for _, c := range cases[:3] {
		response, _, err := f.call(c.path, c.change)
		wantRefusal(t, response, err, verdict.NotReady, verdict.NotRun)
	}
	if len(s.receivedHeaders()) != 0 {
		t.Fatal("a target saw a refused request")
	}
}

func TestRefusalByBoardHasRetryAfter(t *testing.T) {
	f := newFixture(t, newFakeServer(t, answersOK("ran")))
	f.board.refusal = verdict.New(verdict.NotRun, verdict.Overloaded, "full").WithRetryAfter(time.Second)
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.Overloaded, verdict.NotRun)
	if response.Header.Get("Come-Back") != "1s" {
		t.Fatalf("retry after %q", response.Header.Get("Come-Back"))
	}
}

// TestReservationsAreAllOrNone refuses the second of two reservations.
func TestReservationsAreAllOrNone(t *testing.T) {
	reserver := &fakeReserver{free: map[names.Target]int{"x": 100}}
	q := &request{relay: New(Deps{Reserver: reserver, Log: zap.NewNop()})}
	placed := &Placement{Helpers: []string{"1", "2"}, Decision: placement.Decision{Helpers: []placement.Helper{
		{Target: "x", ReservedTokens: 80}, {Target: "y", ReservedTokens: 80},
	}}}
	_, _, err := q.reserve(t.Context(), placed)
	if failure := verdict.From(err); failure.Reason != verdict.SpanUnavailable || failure.Verdict != verdict.NotRun {
		t.Fatalf("error %v", err)
	}
	if reserver.released != 1 {
		t.Fatalf("%d reservations released", reserver.released)
	}
	reserver.free = map[names.Target]int{"x": 100, "y": 100}
	helpers, release, err := q.reserve(t.Context(), placed)
	if err != nil || helpers[0].Reservation != "r-x" || helpers[1].Reservation != "r-y" {
		t.Fatalf("%v %v", helpers, err)
	}
	release()
	if reserver.released != 3 {
		t.Fatalf("%d reservations released", reserver.released)
	}
}

// TestFailureIsAttributedToHelper has a target that refuses because of a
// helper. The target itself is not at fault and must not be excluded.
func TestFailureIsAttributedToHelper(t *testing.T) {
	q := &request{}
	a := &attempt{request: q, failedTarget: "first", placed: &Placement{
		Helpers:  []string{"10.0.0.1:80", "10.0.0.2:80"},
		Decision: placement.Decision{Target: "first", Helpers: []placement.Helper{{Target: "x"}, {Target: "y"}}},
	}}
	a.attributeFailure("")
	a.attributeFailure("10.0.0.9:80")
	if a.failedTarget != "first" {
		t.Fatalf("failure attributed to %s", a.failedTarget)
	}
	a.attributeFailure("10.0.0.2:80")
	if a.failedTarget != "y" {
		t.Fatalf("failure attributed to %s", a.failedTarget)
	}
}

// TestAStreamOfASilentTargetIsResumedBeforeItsCallerLeaves has a target that
// sends nothing after two events, while the daemon is draining. The stream must
// be resumed before its caller gives up.
func TestAStreamOfASilentTargetIsResumedBeforeItsCallerLeaves(t *testing.T) {
	silent := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		writeChunk(conn, "id: 0\n\nid: 1\n\n")
		_, _ = conn.Read(make([]byte, 1))
	})
	f := newFixture(t, silent, newFakeServer(t, streamsEvents(2, 3, true)))
	f.board.unresponsive, f.board.draining = true, true
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	began := time.Now()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || strings.Count(body, "id: ") != 4 {
		t.Fatalf("%v %q", err, body)
	}
	if took := time.Since(began); took > minCallerEventTimeout-500*time.Millisecond {
		t.Fatalf("took %s", took)
	}
}

// TestPromptWithoutReservationIsRefusedSoon has plenty of retry budget, so that
// only the limit of refusals ends the attempts.
func TestPromptWithoutReservationIsRefusedSoon(t *testing.T) {
	s := newFakeServer(t, answersOK("ran"))
	f := newFixture(t, s)
	f.board.helpers = []placement.Helper{{Target: "x", ReservedTokens: 80}}
	response, _, err := f.call("/stream/x", nil)
	wantRefusal(t, response, err, verdict.SpanUnavailable, verdict.NotRun)
	if response.Header.Get("Come-Back") == "" {
		t.Error("the answer has no retry delay")
	}
	if f.board.placements > maxRefusals+1 || len(s.receivedHeaders()) != 0 {
		t.Errorf("placed %d times, sent %d times", f.board.placements, len(s.receivedHeaders()))
	}
}
