package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A stream has begun and breaks off, and the second of up to three targets answers with an
// error. Guards against the text of the error within the stream, or an end in order after
// it. The caller gets the events alone, and an end in order only after the last one.
func TestErrorBetweenPartsOfStreamStaysOutOfIt(t *testing.T) {
	const last = 5
	statuses := []int{
		http.StatusCreated, http.StatusNoContent, http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusGone,
		http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}
	bodies := map[string]string{"no body": "", "a text": "failed", "events": events(3, 4), "a later event": "id: 9\ndata: e9\n\n"}
	first := script{framing: chunked, ending: closed, body: events(0, 2) + "id: 3\nda"}
	rest := script{framing: chunked, body: events(3, last)}
	for _, status := range statuses {
		for name, body := range bodies {
			for _, f := range []framing{chunked, withLength, untilClose} {
				for _, notRun := range []bool{false, true} {
					if status == http.StatusCreated && strings.HasPrefix(body, "id: 3") {
						continue // a stream
					}
					failure := script{status: status, framing: f, body: body, notRun: notRun, bodiless: status == http.StatusNoContent}
					for _, answers := range [][]script{{first, failure}, {first, failure, rest}} {
						r := row{path: "/stream/x", answers: answers}
						t.Run(fmt.Sprintf("%d, %s, %s, not run %t, %d targets", status, name, f, notRun, len(answers)), func(t *testing.T) {
							t.Parallel()
							for _, a := range append(askers(), oldAskers()...) {
								got, complete := r.run(t, a)
								if !strings.HasPrefix(events(0, last), got) && !strings.HasPrefix(events(0, 2)+"id: 3\nda", got) {
									t.Errorf("%s: the caller got %q", a.name, got)
								}
								if complete && got != events(0, last) {
									t.Errorf("%s: an end in order after %q", a.name, got)
								}
							}
						})
					}
				}
			}
		}
	}
}
