package relay

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// statesLeaving answers with a status and states that the target is leaving.
func statesLeaving(status int, more string) responder {
	return func(conn net.Conn, r *http.Request, _ int) { writeAnswer(conn, r, status, "Leaving: 1\r\n"+more, "x") }
}

// Guards against a statement that is lost with the kind of answer in which it comes.
func TestStatementsInAllAnswersAreRecorded(t *testing.T) {
	earlier := func(conn net.Conn, r *http.Request, n int) {
		late := r.Clone(t.Context())
		late.Header.Set("Id", "earlier")
		statesLeaving(http.StatusOK, "Connection: keep-alive\r\n")(conn, late, n)
	}
	cases := map[string]struct {
		respond responder
		path    string
		want    []string
	}{
		"complete answer": {statesLeaving(http.StatusOK, "Seal: s\r\n"), "/read/x", []string{"a{true 0s false}"}},
		"failure":         {statesLeaving(http.StatusInternalServerError, ""), "/read/x", []string{"a{true 0s false}"}},
		"refusal":         {statesLeaving(http.StatusServiceUnavailable, "Not-Run: 1\r\n"), "/order/x", []string{"a{true 0s false}"}},
		"without a seal":  {statesLeaving(http.StatusOK, ""), "/read/x", []string{"a{true 0s false}"}},
		"stream":          {statesLeaving(http.StatusOK, "Seal: s\r\n"), "/stream/x", []string{"a{true 0s false}"}},
		"earlier request": {earlier, "/read/x", []string{"a{true 0s false}"}},
		"other target":    {statesLeaving(http.StatusMisdirectedRequest, ""), "/read/x", nil},
		"none":            {answersOK("x"), "/read/x", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newFakeServer(t, c.respond))
			_, _, _ = f.call(c.path, nil) // the statement counts whatever the request ends with
			f.board.mu.Lock()
			defer f.board.mu.Unlock()
			if !slices.Equal(f.board.statements, c.want) {
				t.Fatalf("statements %q, want %q", f.board.statements, c.want)
			}
		})
	}
}

// Guards against a limit that is lost with the kind of answer in which it comes, and against
// one that is set or lifted by the answer of another request or target.
func TestOnlyOwnAnswersSetAndLiftLimits(t *testing.T) {
	names := func(status int, more string) responder {
		return func(conn net.Conn, r *http.Request, _ int) { writeAnswer(conn, r, status, more, "x") }
	}
	earlier := func(own string) responder {
		return func(conn net.Conn, r *http.Request, n int) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nId: earlier\r\nLimit: 7\r\nContent-Length: 0\r\n\r\n") // the next write shows an error
			names(http.StatusOK, own+"Seal: s\r\n")(conn, r, n)
		}
	}
	cases := map[string]struct {
		respond responder
		path    string
		limits  int
		lifts   int
	}{
		"complete answer": {names(http.StatusOK, "Limit: 2\r\nSeal: s\r\n"), "/read/x", 1, 0},
		"failure":         {names(http.StatusInternalServerError, "Limit: 2\r\n"), "/order/x", 1, 0},
		"refusal":         {names(http.StatusServiceUnavailable, "Limit: 2\r\nNot-Run: 1\r\n"), "/order/x", 1, 0},
		"stream":          {names(http.StatusOK, "Limit: 2\r\nSeal: s\r\n"), "/stream/x", 1, 0},
		"invalid":         {names(http.StatusOK, "Limit: x\r\nSeal: s\r\n"), "/read/x", 1, 0},
		"other target":    {names(http.StatusMisdirectedRequest, "Limit: 2\r\n"), "/order/x", 0, 0},
		"earlier request": {earlier(""), "/read/x", 0, 1},
		"both":            {earlier("Limit: 2\r\n"), "/read/x", 1, 0},
		"none":            {answersOK("x"), "/read/x", 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newFakeServer(t, c.respond))
			_, _, _ = f.call(c.path, nil) // the statement counts whatever the request ends with
			f.board.mu.Lock()
			defer f.board.mu.Unlock()
			if len(f.board.statements) != c.limits || len(f.board.unlimited) != c.lifts {
				t.Fatalf("statements %q, want %d; lifted %v, want %d", f.board.statements, c.limits, f.board.unlimited, c.lifts)
			}
		})
	}
}

// A target states that it is leaving after a request was placed there. The request must
// be placed again, with nothing sent and no retry taken from the budget.
func TestRequestIsPlacedAgainIfItsTargetLeaves(t *testing.T) {
	for _, path := range []string{"/read/x", "/order/x"} {
		leaving, other := newFakeServer(t, answersOK("leaving")), newFakeServer(t, answersOK("done"))
		f := newFixture(t, leaving, other)
		f.board.takenOut, f.board.maxStale = []names.Target{"a"}, 3
		if _, body, err := f.call(path, nil); err != nil || body != "done" {
			t.Fatalf("%s: %v %q", path, err, body)
		}
		if sent := len(leaving.receivedHeaders()); sent != 0 {
			t.Fatalf("%s: %d requests reached the leaving target", path, sent)
		}
		if f.board.placements != 4 || f.board.endedPlacements != 4 || len(f.board.failed) != 0 {
			t.Fatalf("%s: %d placements, %d ended, failures %v", path, f.board.placements, f.board.endedPlacements, f.board.failed)
		}
	}
}

// Each placement is on a target that is leaving. Guards against placing for ever.
func TestPlacementsOnLeavingTargetsAreBounded(t *testing.T) {
	leaving := newFakeServer(t, answersOK("leaving"))
	f := newFixture(t, leaving)
	f.board.takenOut, f.board.maxStale = []names.Target{"a"}, 1000
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.TargetLeaving, verdict.NotRun)
	if f.board.placements > maxReplacements+1 || len(leaving.receivedHeaders()) != 0 {
		t.Fatalf("%d placements, %d sends", f.board.placements, len(leaving.receivedHeaders()))
	}
}

// A target asks for time in a refusal, with the mark and without it.
func TestTimeAskedForIsRecorded(t *testing.T) {
	for _, mark := range []string{"", "Not-Run: 1\r\n"} {
		f := newFixture(t, newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
			writeAnswer(conn, r, http.StatusServiceUnavailable, "Ask: xxx\r\n"+mark, "")
		}))
		_, _, _ = f.call("/read/x", nil) // the statement counts whatever the request ends with
		if want := []string{"a{false 3s false}"}; !slices.Equal(f.board.statements, want) {
			t.Fatalf("statements %q, want %q", f.board.statements, want)
		}
	}
}

// All targets ask for time. Guards against a retry delay after which there is no room, and
// against one on an answer that is no refusal.
func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	refuses := newFakeServer(t, func(conn net.Conn, r *http.Request, _ int) {
		writeAnswer(conn, r, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
	})
	for after, want := range map[time.Duration]time.Duration{0: refusalRetryAfter, 9 * time.Second: 9 * time.Second} {
		f := newFixture(t, refuses)
		f.board.roomAfter = after
		response, _, err := f.call("/order/x", nil)
		wantRefusal(t, response, err, verdict.NoTarget, verdict.NotRun)
		if got := response.Header.Get("Come-Back"); got != want.String() {
			t.Errorf("told to return after %s, want %s", got, want)
		}
	}
	f := newFixture(t)
	f.board.roomAfter = 9 * time.Second
	f.board.refusal = verdict.New(verdict.NotRun, verdict.DaemonDraining, "stopping").WithRetryAfter(time.Millisecond)
	response, _, err := f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.DaemonDraining, verdict.NotRun)
	if got := response.Header.Get("Come-Back"); got != time.Millisecond.String() {
		t.Errorf("told to return after %s though another daemon may have room", got)
	}
	f = newFixture(t, newFakeServer(t, closesWithoutAnswer))
	f.board.roomAfter = time.Second
	response, _, err = f.call("/order/x", nil)
	wantRefusal(t, response, err, verdict.AnswerCut, verdict.MayHaveRun)
	if got := response.Header.Get("Come-Back"); got != "" {
		t.Errorf("told to return after %s though the request may have run", got)
	}
}
