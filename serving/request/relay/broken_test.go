package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// row is an answer, or the answers of several attempts, to a request.
type row struct {
	name, path string
	// header is added to the caller's request.
	header  string
	answers []script
	// want is the body at the caller if the answer is sound.
	want string
	// watched leaves the silence of a target to the watchdog. Other silent rows end with
	// the time of their route, which is then short.
	watched bool
}

const shortTimeout = 300 * time.Millisecond

// resumes returns the row of a stream that breaks off after event 2 and is then resumed at
// a target that gives an answer.
func resumes(name string, answer script) row {
	first := script{framing: untilClose, ending: closed, body: events(0, 2) + "id: 3\nda"}
	return row{name: "resumed: " + name, path: "/stream/x", answers: []script{first, answer}}
}

// continues returns the row of a caller that resumes a stream itself after event 2. All
// targets give the same answer.
func continues(name string, answer script) row {
	return row{name: "resumed by the caller: " + name, path: "/stream/x", header: "Last-Event-Id: 2\r\n", answers: []script{answer, answer}}
}

// brokenStreams returns streams that all targets break off in the same way and place.
func brokenStreams() []row {
	var rows []row
	add := func(path, name string, s script) {
		rows = append(rows, row{name: path + " " + name, path: path, answers: []script{s, s}})
	}
	places := []struct{ name, body string }{
		{"before the first event", ""},
		{"inside the first line", "id"},
		{"after the first line", "id: 0\n"},
		{"inside a later line", events(0, 2) + "id: 3\nda"},
		{"after a line without the empty one", events(0, 2) + "id: 3\ndata: e3\n"},
		{"between events", events(0, 2)},
	}
	for _, path := range []string{"/stream/x", "/once/x"} {
		for _, place := range places {
			for _, f := range []framing{chunked, withLength, untilClose} {
				for _, e := range []ending{closed, reset, invalid, silent} {
					if f == untilClose && place.name == "between events" && e != reset && e != silent {
						continue // has the same bytes as a complete answer
					}
					add(path, fmt.Sprintf("%s, %s, %s", place.name, f, e), script{framing: f, ending: e, body: place.body})
				}
			}
		}
		for _, e := range []ending{closed, reset, silent} {
			add(path, fmt.Sprintf("in the head, %s", e), script{ending: e, headOnly: true})
		}
		add(path, "unsealed", script{body: events(0, 2), unsealed: true})
	}
	silence := script{framing: untilClose, ending: silent, body: events(0, 2)}
	rows = append(rows, row{name: "silent until the watchdog acts", path: "/stream/x", answers: []script{silence, silence}, watched: true})
	return rows
}

// brokenCalls returns answers of plain services that are broken off.
func brokenCalls() []row {
	var rows []row
	for _, path := range []string{"/read/x", "/order/x"} {
		for _, f := range []framing{chunked, withLength, untilClose} {
			for _, e := range []ending{closed, reset, invalid, silent} {
				if f == untilClose && e != reset && e != silent {
					continue // has the same bytes as a complete answer
				}
				s := script{framing: f, ending: e, body: "hal"}
				rows = append(rows, row{name: fmt.Sprintf("%s %s, %s", path, f, e), path: path, answers: []script{s, s}})
			}
		}
	}
	return rows
}

// brokenOtherSuccesses returns broken streams with a success status other than 200.
func brokenOtherSuccesses() []row {
	var rows []row
	for _, status := range []int{http.StatusCreated, http.StatusPartialContent} {
		for _, f := range []framing{chunked, withLength, untilClose} {
			s := script{status: status, framing: f, ending: closed, body: events(0, 2) + "id: 3\nda"}
			rows = append(rows, row{name: fmt.Sprintf("%d, %s", status, f), path: "/stream/x", answers: []script{s, s}})
		}
	}
	return rows
}

// brokenResumes returns streams whose resumption breaks off as well.
func brokenResumes() []row {
	return []row{
		resumes("nothing, chunked, closed", script{framing: chunked, ending: closed}),
		resumes("nothing, with length, closed", script{framing: withLength, ending: closed}),
		resumes("nothing, reset", script{framing: untilClose, ending: reset}),
		resumes("part of the head, closed", script{headOnly: true, ending: closed}),
		resumes("part of an event, closed", script{framing: untilClose, ending: closed, body: "id: 3\nda"}),
		resumes("an event and part of the next, closed", script{framing: untilClose, ending: closed, body: events(3, 3) + "id: 4\n"}),
		resumes("a refusal", script{status: http.StatusServiceUnavailable, framing: withLength, notRun: true}),
		resumes("an unsealed success", script{framing: chunked, body: events(3, 5), unsealed: true}),
		resumes("the whole answer from the start", script{framing: chunked, body: events(0, 5)}),
		resumes("a later part", script{framing: chunked, body: events(5, 6)}),
		continues("nothing, closed", script{framing: chunked, ending: closed}),
		continues("nothing until close", script{framing: untilClose, ending: closed}),
		continues("part of an event", script{framing: untilClose, ending: closed, body: events(3, 3) + "id: 4\nd"}),
		continues("the whole answer from the start", script{framing: chunked, body: events(0, 5)}),
		continues("a failure", script{status: http.StatusInternalServerError, framing: withLength, body: "failed"}),
	}
}

// resumesWithoutEvent returns streams whose resumption ends with the connection before an
// event.
func resumesWithoutEvent() []row {
	return []row{
		resumes("nothing until close", script{framing: untilClose, ending: closed}),
		resumes("a comment until close", script{framing: untilClose, ending: closed, body: ": wait\n\n"}),
	}
}

// resumesWithoutStream returns streams whose resumption is answered with something else.
func resumesWithoutStream() []row {
	return []row{
		resumes("a failure", script{status: http.StatusInternalServerError, framing: withLength, body: "failed"}),
		resumes("a failure at the deadline", script{status: http.StatusGatewayTimeout, framing: chunked, body: "late"}),
		resumes("a failure until close", script{status: http.StatusInternalServerError, framing: untilClose, body: "failed"}),
		resumes("a client error", script{status: http.StatusGone, framing: withLength, body: "unknown"}),
		resumes("a redirect", script{status: http.StatusFound, framing: withLength}),
		resumes("no content", script{status: http.StatusNoContent, framing: untilClose}),
		resumes("another success", script{status: http.StatusCreated, framing: withLength, body: "made"}),
	}
}

// resumesWithoutIDs returns streams whose resumption has events without an ID.
func resumesWithoutIDs() []row {
	answer := script{framing: chunked, body: "data: e0\n\ndata: e1\n\n"}
	return []row{resumes("events without IDs", answer), continues("events without IDs", answer)}
}

// run serves a row to a caller.
func (r *row) run(t *testing.T, a asker) (body string, complete bool) {
	t.Helper()
	var servers []*fakeServer
	for i := range r.answers {
		servers = append(servers, newFakeServer(t, r.answers[i].respond))
	}
	f := newFixture(t, servers...)
	if r.answers[0].ending == silent && !r.watched {
		for i := range f.routes {
			f.routes[i].Timeout = shortTimeout
		}
		f.build()
	}
	f.board.unresponsive = r.watched
	return f.ask(a, r.path, r.header)
}

// wantNeverComplete checks that no caller gets a success with an end in order.
func wantNeverComplete(t *testing.T, to []asker, tables ...[]row) {
	t.Helper()
	for _, table := range tables {
		for _, r := range table {
			for _, a := range to {
				t.Run(r.name+", "+a.name, func(t *testing.T) {
					t.Parallel()
					if body, complete := r.run(t, a); complete {
						t.Fatalf("the caller got %q as a complete answer", body)
					}
				})
			}
		}
	}
}

func TestBrokenAnswerNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, askers(), brokenStreams(), brokenCalls(), brokenResumes())
}

// TestResumeWithoutEventNeverEndsAsComplete has a target that crashes after the head of its
// answer. Without length and chunks that looks like the end of a body.
func TestResumeWithoutEventNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, askers(), resumesWithoutEvent())
}

// TestFailureOfResumeNeverEndsAsComplete has a target that answers the resumption of a
// stream with a failure. Its body must not be added to the events.
func TestFailureOfResumeNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, askers(), resumesWithoutStream())
}

// TestResumeWithoutEventIDsIsNotJoined has a target that gives events without IDs. They may
// be those of another run from the start.
func TestResumeWithoutEventIDsIsNotJoined(t *testing.T) {
	wantNeverComplete(t, askers(), resumesWithoutIDs())
}

// TestBrokenStreamOfAnySuccessNeverEndsAsComplete has success statuses other than 200.
func TestBrokenStreamOfAnySuccessNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, askers(), brokenOtherSuccesses())
}

// TestBrokenAnswerToHTTP10CallerNeverEndsAsComplete has callers to whom an answer ends with
// its connection.
func TestBrokenAnswerToHTTP10CallerNeverEndsAsComplete(t *testing.T) {
	wantNeverComplete(t, oldAskers(), brokenStreams(), brokenCalls(), brokenResumes(), brokenOtherSuccesses(),
		resumesWithoutEvent(), resumesWithoutStream(), resumesWithoutIDs())
}

// wantStreamCut runs a stream that goes on until stop ends it, for each kind of caller.
func wantStreamCut(t *testing.T, to []asker, stop func(*fixture)) {
	t.Helper()
	for _, a := range to {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			s := script{framing: untilClose, ending: silent, body: events(0, 2)}
			f := newFixture(t, newFakeServer(t, s.respond))
			stop(f)
			if body, complete := f.ask(a, "/stream/x", ""); complete {
				t.Fatalf("the caller got %q as a complete answer", body)
			}
		})
	}
}

func endRoutesTime(f *fixture) {
	f.routes[2].Timeout = shortTimeout
	f.build()
}

func closeDaemon(f *fixture) {
	time.AfterFunc(shortTimeout, func() { _ = f.server.Config.Close() })
}

func TestDeadlineNeverEndsStreamAsComplete(t *testing.T) {
	wantStreamCut(t, askers(), endRoutesTime)
}

func TestStopOfDaemonNeverEndsStreamAsComplete(t *testing.T) {
	wantStreamCut(t, askers(), closeDaemon)
}

// TestStreamCutForHTTP10CallerNeverEndsAsComplete is the same for a caller to whom an answer
// ends with its connection.
func TestStreamCutForHTTP10CallerNeverEndsAsComplete(t *testing.T) {
	t.Run("deadline", func(t *testing.T) { wantStreamCut(t, oldAskers(), endRoutesTime) })
	t.Run("stop", func(t *testing.T) { wantStreamCut(t, oldAskers(), closeDaemon) })
}

// wantWhole checks that each caller gets the answer as it is.
func wantWhole(t *testing.T, to []asker, table []row) {
	t.Helper()
	for _, r := range table {
		for _, a := range to {
			t.Run(r.name+", "+a.name, func(t *testing.T) {
				t.Parallel()
				if body, complete := r.run(t, a); !complete || body != r.want {
					t.Fatalf("the caller got %q, complete %t, want %q", body, complete, r.want)
				}
			})
		}
	}
}

// sound returns the row of an answer that is complete at the first attempt.
func sound(name, path string, answer script) row {
	return row{name: path + " " + name, path: path, answers: []script{answer}, want: answer.body}
}

// expects sets the body that the caller is to get.
func (r row) expects(body string) row {
	r.want = body
	return r
}

func TestSoundAnswerReachesCallerWhole(t *testing.T) {
	rows := []row{
		sound("chunked", "/stream/x", script{body: events(0, 3)}),
		sound("with length", "/stream/x", script{framing: withLength, body: events(0, 3)}),
		sound("until close", "/stream/x", script{framing: untilClose, body: events(0, 3)}),
		sound("another success", "/stream/x", script{status: http.StatusPartialContent, framing: untilClose, body: events(0, 3)}),
		sound("comments between events", "/stream/x", script{framing: untilClose, body: events(0, 0) + ": wait\n\n" + events(1, 1)}),
		resumes("events until close", script{framing: untilClose, body: events(3, 4)}).expects(events(0, 4)),
		continues("events until close", script{framing: untilClose, body: events(3, 4)}).expects(events(3, 4)),
	}
	for _, path := range []string{"/read/x", "/order/x"} {
		rows = append(rows,
			sound("chunked", path, script{body: "done"}),
			sound("with length", path, script{framing: withLength, body: "done"}),
			sound("until close", path, script{framing: untilClose, body: "done"}),
			sound("no content", path, script{status: http.StatusNoContent, framing: untilClose}))
	}
	wantWhole(t, allAskers(), rows)
}

// TestEmptyStreamReachesCallerWhole has streams whose framing says that they are complete
// without an event, such as one that its caller resumes after the last event.
func TestEmptyStreamReachesCallerWhole(t *testing.T) {
	wantWhole(t, allAskers(), []row{
		sound("no event, with length", "/stream/x", script{framing: withLength}),
		sound("no event, chunked", "/once/x", script{framing: chunked}),
		continues("nothing was missing, chunked", script{framing: chunked}),
		continues("nothing was missing, with length", script{framing: withLength}),
	})
}

// TestHeadIsAnswered has requests whose answer has no body.
func TestHeadIsAnswered(t *testing.T) {
	var rows []row
	for _, path := range []string{"/stream/x", "/read/x", "/order/x"} {
		for _, f := range []framing{chunked, withLength, untilClose} {
			rows = append(rows, sound(f.String(), path, script{framing: f, bodiless: true}))
		}
	}
	wantWhole(t, []asker{{"HEAD", "HEAD", "HTTP/1.1", ""}}, rows)
}

// TestHeadStatesTheLengthOfItsTarget has an answer to HEAD that states the length which a
// body would have.
func TestHeadStatesTheLengthOfItsTarget(t *testing.T) {
	answer := script{framing: withLength, body: "12345", bodiless: true}
	f := newFixture(t, newFakeServer(t, answer.respond))
	response, body, err := f.call("/read/x", func(r *http.Request) { r.Method = http.MethodHead })
	if err != nil || body != "" || response.Header.Get("Content-Length") != "5" {
		t.Fatalf("%v %q %v", err, body, response)
	}
}

// A target stops inside the head of its answer and closes, at any byte. Guards against taking
// what has arrived of the head for an answer without a body.
func TestAnswerThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	heads := map[string]string{
		"with length":          "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 0\r\nId: ",
		"chunked":              "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\nId: ",
		"until the close":      "HTTP/1.1 200 OK\r\nSeal: s\r\nId: ",
		"interim answer first": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 0\r\nId: ",
		"bare line ends":       "HTTP/1.1 200 OK\nSeal: s\nId: ",
	}
	for name, head := range heads {
		for _, path := range []string{"/read/x", "/order/x", "/stream/x", "/once/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				length := len(head) + len("123456789012") + len("\r\n")
				for stop := 0; stop < length; stop += 3 {
					server := newFakeServer(t, func(conn net.Conn, r *http.Request, n int) {
						whole := head + r.Header.Get("Id") + "\r\n"
						_, _ = io.WriteString(conn, whole[:min(stop, len(whole))])
						script := script{ending: []ending{closed, reset}[n%2]}
						script.end(conn)
					})
					f := newFixture(t, server, server)
					for _, a := range allAskers() {
						if body, complete := f.ask(a, path, ""); complete {
							t.Fatalf("%s, %d bytes of the head: the caller got %q as a complete answer", a.name, stop, body)
						}
					}
				}
			})
		}
	}
}
