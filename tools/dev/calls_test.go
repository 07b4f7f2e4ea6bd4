package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

type reply struct {
	status int
	header http.Header
	body   []byte
}

// post sends a request of customer-a to the daemon at an index and reads the
// response.
func post(t *testing.T, d *Environment, daemon int, path, body string, header map[string]string) reply {
	t.Helper()
	url := "http://" + d.Daemons()[daemon].CallerAddress() + path
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey("customer-a"))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read to its end
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}
}

// field returns the string at a path of keys in a JSON document, or "".
func field(t *testing.T, body []byte, path ...string) string {
	t.Helper()
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		t.Fatalf("%s: %s", err, body)
	}
	for _, key := range path {
		fields, _ := value.(map[string]any)
		value = fields[key]
	}
	text, _ := value.(string)
	return text
}

// countServiceRuns returns the number of calls that all replicas ran.
func countServiceRuns(d *Environment) int {
	total := 0
	for _, s := range d.Fleet.Services() {
		total += len(s.Runs())
	}
	return total
}

func TestTicketRunsOnceThroughEveryDaemon(t *testing.T) {
	d := startDev(t)
	minted := post(t, d, 0, "/v1/services/orders/tickets", `{}`, nil)
	ticket := map[string]string{"Carobspoke-Ticket": field(t, minted.body, "ticket")}
	var first []byte
	for i := range d.Daemons() {
		got := post(t, d, i, "/v1/services/orders/call", `{"plates":3}`, ticket)
		if got.status != http.StatusOK {
			t.Fatalf("daemon %d: %d %s", i, got.status, got.body)
		}
		if first == nil {
			first = got.body
		}
		if !bytes.Equal(first, got.body) || got.header.Get("Carobspoke-Replayed") != map[bool]string{true: "true", false: "false"}[i > 0] {
			t.Fatalf("daemon %d: %s, header %v", i, got.body, got.header)
		}
	}
	if n := countServiceRuns(d); n != 1 {
		t.Fatalf("replicas ran the call %d times", n)
	}
}

func TestTicketOfAClosedDaemonIsNeverRun(t *testing.T) {
	d := startDev(t)
	minted := post(t, d, 0, "/v1/services/orders/tickets", `{}`, nil)
	ticket := map[string]string{"Carobspoke-Ticket": field(t, minted.body, "ticket")}
	owner := d.Daemons()[0]
	if err := d.RemoveDaemon(t.Context(), owner); err != nil {
		t.Fatal(err)
	}
	for i := range d.Daemons() {
		got := post(t, d, i, "/v1/services/orders/call", `{}`, ticket)
		if got.status == http.StatusOK || field(t, got.body, "error", "verdict") != "may_have_run" {
			t.Fatalf("daemon %d: %d %s", i, got.status, got.body)
		}
	}
	if n := countServiceRuns(d); n != 0 {
		t.Fatalf("replicas ran the call %d times", n)
	}
}

func TestCallWithoutTicketOrKeyIsOfferedATicket(t *testing.T) {
	d := startDev(t)
	refused := post(t, d, 0, "/v1/services/orders/call", `{}`, nil)
	if refused.status != http.StatusPreconditionRequired || field(t, refused.body, "error", "verdict") != "not_run" {
		t.Fatalf("%d %s", refused.status, refused.body)
	}
	ticket := map[string]string{"Carobspoke-Ticket": field(t, refused.body, "error", "ticket")}
	if got := post(t, d, 1, "/v1/services/orders/call", `{}`, ticket); got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
}

func TestRequestPassesThroughTwoDaemons(t *testing.T) {
	c := Config{
		Fleet:          fleet.Config{Size: fleet.Dev, Speedup: testSpeedup},
		Log:            zap.NewNop(),
		AdjustManifest: func(m *manifest.Manifest) { keepOneEngine(m) },
	}
	d, err := Start(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	relayed := 0
	for i, daemon := range d.Daemons() {
		got := post(t, d, i, "/v1/completions", `{"model":"draft","prompt":"x","max_tokens":5}`, nil)
		if got.status != http.StatusOK {
			t.Fatalf("daemon %d: %d %s", i, got.status, got.body)
		}
		if !daemon.KeepsEngineOf("draft") {
			relayed++
		}
	}
	if relayed != len(d.Daemons())-1 {
		t.Fatalf("%d of %d daemons relayed the request", relayed, len(d.Daemons()))
	}
}

// keepOneEngine removes all engines but one from a manifest and assigns one
// keeper to each target.
func keepOneEngine(m *manifest.Manifest) {
	m.Policy.Keepers = 1
	kept := m.Targets[:0:0]
	engines := 0
	for _, target := range m.Targets {
		if target.Service == "" {
			engines++
			if engines > 1 {
				continue
			}
		}
		kept = append(kept, target)
	}
	m.Targets = kept
}

// choiceText returns the text of a completion's only choice.
func choiceText(t *testing.T, body []byte) string {
	t.Helper()
	var document struct {
		Choices []struct{ Text string }
	}
	if err := json.Unmarshal(body, &document); err != nil || len(document.Choices) != 1 {
		t.Fatalf("%v: %s", err, body)
	}
	return document.Choices[0].Text
}

func TestMalformedRetryIsReportedAsMayHaveRun(t *testing.T) {
	d := startDev(t)
	header := map[string]string{"Carobspoke-Timeout-Ms": "soon"}
	fresh := post(t, d, 0, "/v1/services/orders/call", `{}`, header)
	header["Carobspoke-Ticket"] = "x"
	resent := post(t, d, 0, "/v1/services/orders/call", `{}`, header)
	for _, got := range []struct {
		reply
		verdict string
	}{{fresh, "not_run"}, {resent, "may_have_run"}} {
		if got.status != http.StatusBadRequest || field(t, got.body, "error", "verdict") != got.verdict {
			t.Fatalf("%d %s, want %s", got.status, got.body, got.verdict)
		}
	}
}

func TestUnknownPathReturnsStandardError(t *testing.T) {
	d := startDev(t)
	got := post(t, d, 0, "/v1/nowhere", `{}`, nil)
	if got.status != http.StatusNotFound || field(t, got.body, "error", "verdict") != "not_run" {
		t.Fatalf("%d %s", got.status, got.body)
	}
}
