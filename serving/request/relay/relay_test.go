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
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
)

func wantRefusal(t *testing.T, response *received, err error, reason verdict.Reason, v verdict.Verdict) {
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

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	s := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		answerWith(conn, r, http.StatusTeapot, "Seal: mark\r\nOther: o\r\n", "short and stout")
	})
	f := newFixture(t, s)
	response, body, err := f.call("/order/x", nil)
	if err != nil || body != "short and stout" || response.StatusCode != http.StatusTeapot || response.Header.Get("Seal") != "mark" || response.Header.Get("Other") != "o" {
		t.Fatalf("%v %v %q", err, response, body)
	}
	if got := s.seen()[0].Get("Customer"); got != "customer" {
		t.Fatalf("the target was told the customer %q", got)
	}
}

// TestANonIdempotentCallRunsOnce lets the target act and die.
func TestANonIdempotentCallRunsOnce(t *testing.T) {
	a, b := newServer(t, dies), newServer(t, good("twice"))
	f := newFixture(t, a, b)
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if len(a.seen()) != 1 || len(b.seen()) != 0 {
		t.Fatalf("sent %d and %d times", len(a.seen()), len(b.seen()))
	}
}

func TestANonIdempotentCallIsRepeatedAfterARefusal(t *testing.T) {
	refuses := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		answerWith(conn, r, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
	})
	f := newFixture(t, refuses, newServer(t, good("done")))
	if _, body, err := f.call("/order/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	f = newFixture(t, refuses)
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.NoTarget, verdict.NotRun)
}

func TestAnIdempotentCallIsRepeatedAfterAFailure(t *testing.T) {
	fails := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		answerWith(conn, r, http.StatusInternalServerError, "Seal: s\r\n", "failed")
	})
	f := newFixture(t, fails, newServer(t, good("done")))
	if _, body, err := f.call("/read/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	f = newFixture(t, fails, newServer(t, dies))
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.Ran)
}

// TestNoMoreTargetsRunARequestThanTheRouteAllows fails at each of three.
func TestNoMoreTargetsRunARequestThanTheRouteAllows(t *testing.T) {
	servers := []*fakeServer{newServer(t, dies), newServer(t, dies), newServer(t, good("third"))}
	f := newFixture(t, servers...)
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if len(servers[2].seen()) != 0 {
		t.Fatal("a third target ran it")
	}
}

func TestAHungIdempotentCallIsAskedElsewhere(t *testing.T) {
	hangs := newServer(t, func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) })
	f := newFixture(t, hangs, newServer(t, good("done")))
	began := time.Now()
	if _, body, err := f.call("/read/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("took %s", took)
	}
	if len(f.board.failed) != 1 {
		t.Fatalf("blamed %v", f.board.failed)
	}
}

func TestTheTimeLeftShrinks(t *testing.T) {
	slow := newServer(t, func(net.Conn, *http.Request, int) { time.Sleep(200 * time.Millisecond) })
	second := newServer(t, good("done"))
	f := newFixture(t, slow, second)
	if _, _, err := f.call("/read/x", func(r *http.Request) { r.Header.Set("Left", "1s") }); err != nil {
		t.Fatal(err)
	}
	var first, then int
	_, _ = fmt.Sscan(slow.seen()[0].Get("Left"), &first)
	_, _ = fmt.Sscan(second.seen()[0].Get("Left"), &then)
	if first > 1000 || then > first-200 || then <= 0 {
		t.Fatalf("left %d, then %d ms", first, then)
	}
}

func TestTheFinalAnswerComesWhenTheRoutesTimeIsOver(t *testing.T) {
	hangs := newServer(t, func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) })
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

func TestAStreamIsResumedAfterTheLastWholeEvent(t *testing.T) {
	first, second := newServer(t, streams(0, 2, false)), newServer(t, streams(3, 5, true))
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
	if got := second.seen()[0].Get("After"); got != "2" {
		t.Fatalf("resumed after %q", got)
	}
}

func TestAStreamThatMayNotBeResumedEndsVisibly(t *testing.T) {
	second := newServer(t, streams(3, 5, true))
	f := newFixture(t, newServer(t, streams(0, 2, false)), second)
	_, body, err := f.call("/once/x", nil)
	if err == nil {
		t.Fatalf("a cut stream looks complete: %q", body)
	}
	if len(second.seen()) != 0 {
		t.Fatal("it ran twice")
	}
}

// TestAResumedStreamMustGoOnWhereItBrokeOff joins no pieces of other runs.
func TestAResumedStreamMustGoOnWhereItBrokeOff(t *testing.T) {
	f := newFixture(t, newServer(t, streams(0, 2, false)), newServer(t, streams(0, 5, true)))
	_, body, err := f.call("/stream/x", nil)
	if err == nil || strings.Count(body, "id: 0\n") != 1 {
		t.Fatalf("%v %q", err, body)
	}
}

// TestSilenceDoesNotEndTheLastAttempt pauses two streams for longer than a
// stream may pause before it is resumed elsewhere; the second may not.
func TestSilenceDoesNotEndTheLastAttempt(t *testing.T) {
	pauses := func(from int) script {
		return func(conn net.Conn, r *http.Request, _ int) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			chunk(conn, fmt.Sprintf("id: %d\n\n", from))
			time.Sleep(patienceLeast + 300*time.Millisecond)
			chunk(conn, fmt.Sprintf("id: %d\n\n", from+1))
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
	f := newFixture(t, newServer(t, pauses(0)), newServer(t, pauses(1)))
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || body != "id: 0\n\nid: 1\n\nid: 2\n\n" {
		t.Fatalf("%v %q", err, body)
	}
}

// TestSilenceDoesNotEndAnAttemptThatNoneMayFollow has a route that allows more
// attempts, and a budget that is spent.
func TestSilenceDoesNotEndAnAttemptThatNoneMayFollow(t *testing.T) {
	pauses := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(conn, "id: 0\n\n")
		time.Sleep(patienceLeast + 300*time.Millisecond)
		chunk(conn, "id: 1\n\n")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	f := newFixture(t, pauses, newServer(t, streams(1, 1, true)))
	for f.budget.TryTake() {
	}
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || body != "id: 0\n\nid: 1\n\n" {
		t.Fatalf("%v %q", err, body)
	}
	if len(f.board.failed) != 1 {
		t.Fatalf("the board was told %d times that the target hangs", len(f.board.failed))
	}
}

func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	s := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(conn, "id: 0\n\n")
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
		t.Fatal("the target still works half a second after the caller left")
	}
}

func TestAnotherTargetAtTheAddressProvesNotRun(t *testing.T) {
	other := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		answerWith(conn, r, http.StatusMisdirectedRequest, "", "")
	})
	f := newFixture(t, other, newServer(t, good("done")))
	if _, body, err := f.call("/order/x", nil); err != nil || body != "done" {
		t.Fatalf("%v %q", err, body)
	}
	if len(f.board.failed) != 1 || f.board.failed[0] != names.Target("a") {
		t.Fatalf("blamed %v", f.board.failed)
	}
}

func TestASuccessWithoutTheTargetsMarkIsNone(t *testing.T) {
	f := newFixture(t, newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		answerWith(conn, r, http.StatusOK, "", "forged")
	}))
	response, body, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.AnswerMismatch, verdict.MayHaveRun)
	if body != "" {
		t.Fatalf("the caller got %q", body)
	}
}

func TestRefusalsBeforeAnyTarget(t *testing.T) {
	s := newServer(t, good("ran"))
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
	if len(s.seen()) != 0 {
		t.Fatal("a target saw a refused request")
	}
}

func TestAHopelessRequestIsRefusedWithATimeToComeBack(t *testing.T) {
	f := newFixture(t, newServer(t, good("ran")))
	f.board.refusal = verdict.New(verdict.NotRun, verdict.Overloaded, "full").WithRetryAfter(time.Second)
	response, _, err := f.call("/read/x", nil)
	wantRefusal(t, response, err, verdict.Overloaded, verdict.NotRun)
	if response.Header.Get("Come-Back") != "1s" {
		t.Fatalf("come back %q", response.Header.Get("Come-Back"))
	}
}

func TestARequestThatCrashesTargetsIsNotSent(t *testing.T) {
	s := newServer(t, good("ran"))
	f := newFixture(t, s)
	f.board.standing = crash.Refused
	response, _, err := f.call("/stream/x", nil)
	wantRefusal(t, response, err, verdict.CrashSuspect, verdict.Ran)
	if len(s.seen()) != 0 {
		t.Fatal("it was sent")
	}
}

func TestBrokenRunsAreToldAndWorkIsEnded(t *testing.T) {
	f := newFixture(t, newServer(t, dies), newServer(t, dies))
	if _, _, err := f.call("/read/x", nil); err != nil {
		t.Fatal(err)
	}
	if f.board.broke != 2 || f.board.begun != 2 || f.board.ended != 2 {
		t.Fatalf("broke %d, begun %d, ended %d", f.board.broke, f.board.begun, f.board.ended)
	}
}

// TestReservationsAreAllOrNone refuses the second of two.
func TestReservationsAreAllOrNone(t *testing.T) {
	reserver := &fakeReserver{free: map[names.Target]int{"x": 100}}
	q := &request{relay: New(Deps{Reserver: reserver, Log: zap.NewNop()})}
	placed := &Placed{Helpers: []string{"1", "2"}, Decision: placement.Decision{Helpers: []placement.Helper{
		{Target: "x", ReservedTokens: 80}, {Target: "y", ReservedTokens: 80},
	}}}
	_, _, err := q.reserve(t.Context(), placed)
	if failure := verdict.From(err); failure.Reason != verdict.SpanUnavailable || failure.Verdict != verdict.NotRun {
		t.Fatalf("error %v", err)
	}
	if reserver.released != 1 {
		t.Fatalf("%d released", reserver.released)
	}
	reserver.free = map[names.Target]int{"x": 100, "y": 100}
	helpers, release, err := q.reserve(t.Context(), placed)
	if err != nil || helpers[0].Reservation != "r-x" || helpers[1].Reservation != "r-y" {
		t.Fatalf("%v %v", helpers, err)
	}
	release()
	if reserver.released != 3 {
		t.Fatalf("%d released", reserver.released)
	}
}

// TestTheHelperAtFaultIsSpared refuses for want of a helper: the target asked
// did nothing wrong and is asked again.
func TestTheHelperAtFaultIsSpared(t *testing.T) {
	q := &request{}
	a := &attempt{request: q, atFault: "first", placed: &Placed{
		Helpers:  []string{"10.0.0.1:80", "10.0.0.2:80"},
		Decision: placement.Decision{Target: "first", Helpers: []placement.Helper{{Target: "x"}, {Target: "y"}}},
	}}
	a.blame("")
	a.blame("10.0.0.9:80")
	if a.atFault != "first" {
		t.Fatalf("blamed %s", a.atFault)
	}
	a.blame("10.0.0.2:80")
	if a.atFault != "y" {
		t.Fatalf("blamed %s", a.atFault)
	}
}

// TestAStreamOfASilentTargetIsResumedBeforeItsCallerLeaves lets a target say
// nothing after two events, at a daemon that stops.
func TestAStreamOfASilentTargetIsResumedBeforeItsCallerLeaves(t *testing.T) {
	silent := newServer(t, func(conn net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		chunk(conn, "id: 0\n\nid: 1\n\n")
		_, _ = conn.Read(make([]byte, 1))
	})
	f := newFixture(t, silent, newServer(t, streams(2, 3, true)))
	f.board.silent, f.board.stopping = true, true
	f.routes[2].Timeout = 10 * time.Second
	f.build()
	began := time.Now()
	_, body, err := f.call("/stream/x", nil)
	if err != nil || strings.Count(body, "id: ") != 4 {
		t.Fatalf("%v %q", err, body)
	}
	if took := time.Since(began); took > patienceLeast-500*time.Millisecond {
		t.Fatalf("took %s", took)
	}
}

// TestAPromptWhoseMemoryIsNotGrantedIsRefusedSoon has plenty of retry budget.
func TestAPromptWhoseMemoryIsNotGrantedIsRefusedSoon(t *testing.T) {
	s := newServer(t, good("ran"))
	f := newFixture(t, s)
	f.board.helpers = []placement.Helper{{Target: "x", ReservedTokens: 80}}
	response, _, err := f.call("/stream/x", nil)
	wantRefusal(t, response, err, verdict.SpanUnavailable, verdict.NotRun)
	if response.Header.Get("Come-Back") == "" {
		t.Error("no time to come back")
	}
	if f.board.begun > maxRefused+1 || len(s.seen()) != 0 {
		t.Errorf("placed %d times, sent %d times", f.board.begun, len(s.seen()))
	}
}
