package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/tools/adminclient"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// world is a fleet of daemon processes before stand-ins.
type world struct {
	*dev.Dev
	daemons []*Daemon
}

func newWorld(t *testing.T, speedup float64) *world {
	t.Helper()
	folder := t.TempDir()
	program, err := Build(t.Context(), folder)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: speedup}, Separate: true, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	w := &world{Dev: d}
	files, err := d.WriteSettings(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		w.start(t, program, file)
	}
	return w
}

func (w *world) start(t *testing.T, program string, file dev.Separate) {
	t.Helper()
	daemon, err := Start(program, file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = daemon.Kill() }) // some tests have ended it
	w.daemons = append(w.daemons, daemon)
}

func (w *world) waitReady(t *testing.T) {
	t.Helper()
	for _, daemon := range w.daemons {
		if err := daemon.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func request(ctx context.Context, t *testing.T, daemon *Daemon, path, body string, header map[string]string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.Settings.Caller.Listen+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+fleet.APIKey("customer-a"))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return http.DefaultClient.Do(r)
}

// readTokens reads up to most tokens of an event stream, and says whether it
// was closed as whole.
func readTokens(body io.Reader, most int) (text string, tokens int, whole bool) {
	lines := bufio.NewScanner(body)
	var all strings.Builder
	for tokens < most && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return all.String(), tokens, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].Delta.Content != "" {
			all.WriteString(chunk.Choices[0].Delta.Content)
			tokens++
		}
	}
	return all.String(), tokens, false
}

func wantText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token("user: "+prompt+"\n", i))
	}
	return text.String()
}

const streamBody = `{"model":"draft","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"p"}]}`

// TestKilledDaemonsStreamIsResumedThroughAnother kills the entry daemon in the
// middle of an answer.
func TestKilledDaemonsStreamIsResumedThroughAnother(t *testing.T) {
	w := newWorld(t, 1)
	w.waitReady(t)
	response, err := request(t.Context(), t, w.daemons[0], "/v1/chat/completions", streamBody, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // its daemon is killed
	ticket := response.Header.Get("Carobspoke-Stream")
	before, got, _ := readTokens(response.Body, 10)
	if err := w.daemons[0].Kill(); err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(map[string]any{"ticket": ticket, "from": got})
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := request(t.Context(), t, w.daemons[1], "/v1/streams/resume", string(body), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close() //nolint:errcheck // it is read whole
	after, more, whole := readTokens(resumed.Body, 1000)
	if !whole || got+more != 60 || before+after != wantText("p", 60) {
		t.Fatalf("%d and %d tokens, whole %t, status %d", got, more, whole, resumed.StatusCode)
	}
}

// TestPausedOwnerRunsATicketOnce pauses the owner of a ticket while the call
// is sent through all daemons, and wakes it.
func TestPausedOwnerRunsATicketOnce(t *testing.T) {
	w := newWorld(t, 50)
	w.waitReady(t)
	minted, err := request(t.Context(), t, w.daemons[0], "/v1/services/orders/tickets", `{}`, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer minted.Body.Close() //nolint:errcheck // it is read whole
	var sealed struct{ Ticket string }
	if err := json.NewDecoder(minted.Body).Decode(&sealed); err != nil {
		t.Fatal(err)
	}
	if err := w.daemons[0].Pause(); err != nil {
		t.Fatal(err)
	}
	header := map[string]string{"Carobspoke-Ticket": sealed.Ticket, "Carobspoke-Timeout-Ms": "1500"}
	for _, daemon := range w.daemons[1:] {
		text := callOnce(t, daemon, header)
		if !strings.Contains(text, `"may_have_run"`) {
			t.Fatalf("while the owner is paused: %s", text)
		}
	}
	if err := w.daemons[0].Wake(); err != nil {
		t.Fatal(err)
	}
	header["Carobspoke-Timeout-Ms"] = "10000"
	for _, daemon := range w.daemons {
		if text := callOnce(t, daemon, header); strings.Contains(text, `"error"`) {
			t.Fatalf("after the owner woke: %s", text)
		}
	}
	ran := 0
	for _, s := range w.Fleet.Services() {
		ran += len(s.Runs())
	}
	if ran != 1 {
		t.Fatalf("ran %d times", ran)
	}
}

func callOnce(t *testing.T, daemon *Daemon, header map[string]string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	response, err := request(ctx, t, daemon, "/v1/services/orders/call", `{}`, header)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // it is read whole
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestBootAgainstStaleServiceDoesNotRevert freezes the configuration service
// at an old version, which the running daemons have left, and restarts one.
func TestBootAgainstStaleServiceDoesNotRevert(t *testing.T) {
	w := newWorld(t, 50)
	w.waitReady(t)
	goBack := w.Fleet.Platform().Checkpoint()
	m := w.Manifest()
	m.Version = 7
	if err := w.Publish(m); err != nil {
		t.Fatal(err)
	}
	for _, daemon := range w.daemons {
		waitVersion(t, daemon, 7)
	}
	goBack()
	if err := w.daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := w.daemons[2].Restart(); err != nil {
		t.Fatal(err)
	}
	if err := w.daemons[2].WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := versionOf(t, w.daemons[2]); got != 7 {
		t.Fatalf("the restarted daemon has version %d in force", got)
	}
}

func versionOf(t *testing.T, daemon *Daemon) names.Version {
	t.Helper()
	status, err := adminclient.New(daemon.Settings.Admin.Listen, dev.AdminKey).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return names.Version(status.Version)
}

func waitVersion(t *testing.T, daemon *Daemon, want names.Version) {
	t.Helper()
	deadline := time.Now().Add(ReadyTimeout)
	for versionOf(t, daemon) != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s does not reach version %d", daemon.Settings.Host, want)
		}
		time.Sleep(readyPoll)
	}
}

// TestStoppedDaemonEndsItsAnswers sends SIGTERM in the middle of an answer.
func TestStoppedDaemonEndsItsAnswers(t *testing.T) {
	w := newWorld(t, 1)
	w.waitReady(t)
	response, err := request(t.Context(), t, w.daemons[0], "/v1/chat/completions", streamBody, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // it is read whole
	stopped := make(chan error, 1)
	go func() { stopped <- w.daemons[0].Stop() }()
	_, tokens, whole := readTokens(response.Body, 1000)
	if !whole || tokens != 60 {
		t.Fatalf("%d tokens, whole %t", tokens, whole)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
