package calls

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	gencalls "carobspoke.example/serving/gen/calls"
	callsserver "carobspoke.example/serving/gen/http/calls/server"
	"carobspoke.example/serving/request/failure"
	"carobspoke.example/serving/request/gateway"
	goahttp "goa.design/goa/v3/http"
)

// TestCallOverHTTP sends a call over HTTP. Without a ticket it is refused; with
// the ticket that the refusal offers it runs; a resend gets the stored answer.
func TestCallOverHTTP(t *testing.T) {
	fleet := newTestFleet(t, "h1")
	mux := goahttp.NewMuxer()
	endpoints := gencalls.NewEndpoints(fleet.servers["h1"])
	callsserver.New(endpoints, mux, gateway.Decoder, gateway.Encoder, nil, failure.Formatter).Mount(mux)
	server := httptest.NewServer(gateway.LimitBody(mux, DefaultLimits().BodyBytes, DefaultLimits().Timeout))
	defer server.Close()
	post := func(ticket string) (status int, replayed, text string) {
		t.Helper()
		request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/services/file/call", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "a")
		if ticket != "" {
			request.Header.Set("Carobspoke-Ticket", ticket)
		}
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close() //nolint:errcheck // the body was read
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode, response.Header.Get("Carobspoke-Replayed"), string(body)
	}
	status, _, text := post("")
	var refusal failure.Body
	if err := json.Unmarshal([]byte(text), &refusal); err != nil {
		t.Fatal(err)
	}
	if status != http.StatusPreconditionRequired || refusal.Error.Verdict != "not_run" || refusal.Error.Ticket == "" {
		t.Fatalf("status %d, body %s", status, text)
	}
	for _, want := range []string{"false", "true"} {
		status, replayed, text := post(refusal.Error.Ticket)
		if status != http.StatusOK || text != "done 1" || replayed != want {
			t.Fatalf("status %d, body %q, replayed %q", status, text, replayed)
		}
	}
	if fleet.actionCount() != 1 {
		t.Fatalf("the service acted %d times", fleet.actionCount())
	}
}
