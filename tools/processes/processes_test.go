package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
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

// testCluster is a development fleet whose daemons run as separate processes.
type testCluster struct {
	*dev.Environment
	daemons []*Daemon
}

func startCluster(t *testing.T, speedup float64) *testCluster {
	t.Helper()
	folder := t.TempDir()
	program, err := Build(t.Context(), folder)
	if err != nil {
		t.Fatal(err)
	}
	d, err := dev.Start(t.Context(), dev.Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: speedup}, SeparateProcesses: true, Loopback: RandomLoopback(), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	cluster := &testCluster{Environment: d}
	files, err := d.WriteSettings(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		cluster.start(t, program, file)
	}
	return cluster
}

func (cluster *testCluster) start(t *testing.T, program string, file dev.SeparateDaemon) {
	t.Helper()
	daemon, err := Start(program, file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = daemon.Kill() }) // the process may have ended already
	cluster.daemons = append(cluster.daemons, daemon)
}

func (cluster *testCluster) waitReady(t *testing.T) {
	t.Helper()
	for _, daemon := range cluster.daemons {
		if err := daemon.WaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func post(ctx context.Context, t *testing.T, daemon *Daemon, path, body string, header map[string]string) (*http.Response, error) {
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

// readTokens reads up to limit tokens of an event stream. Complete reports whether
// the stream's final event was read.
func readTokens(body io.Reader, limit int) (text string, tokens int, complete bool) {
	lines := bufio.NewScanner(body)
	var content strings.Builder
	for tokens < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return content.String(), tokens, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 && chunk.Choices[0].Delta.Content != "" {
			content.WriteString(chunk.Choices[0].Delta.Content)
			tokens++
		}
	}
	return content.String(), tokens, false
}

func wantText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token("user: "+prompt+"\n", i))
	}
	return text.String()
}

const streamBody = `{"model":"draft","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"p"}]}`

// TestStreamOfKilledDaemonResumesThroughAnother kills the entry daemon during an
// answer. The rest must be available through another daemon, with no token lost
// or repeated.
func TestStreamOfKilledDaemonResumesThroughAnother(t *testing.T) {
	cluster := startCluster(t, 1)
	cluster.waitReady(t)
	response, err := post(t.Context(), t, cluster.daemons[0], "/v1/chat/completions", streamBody, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the connection breaks when its daemon is killed
	ticket := response.Header.Get("Carobspoke-Stream")
	before, tokensBefore, _ := readTokens(response.Body, 10)
	if err := cluster.daemons[0].Kill(); err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(map[string]any{"ticket": ticket, "from": tokensBefore})
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := post(t.Context(), t, cluster.daemons[1], "/v1/streams/resume", string(body), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close() //nolint:errcheck // the body has been read to its end
	after, tokensAfter, complete := readTokens(resumed.Body, 1000)
	if !complete || tokensBefore+tokensAfter != 60 || before+after != wantText("p", 60) {
		t.Fatalf("%d and %d tokens, complete %t, status %d", tokensBefore, tokensAfter, complete, resumed.StatusCode)
	}
}

// TestTicketOfPausedOwnerRunsOnce pauses the owner of a ticket, sends the call
// through the other daemons, resumes the owner and sends the call through all
// daemons. If another daemon ran the call in the owner's place, it would run
// twice.
func TestTicketOfPausedOwnerRunsOnce(t *testing.T) {
	cluster := startCluster(t, 50)
	cluster.waitReady(t)
	response, err := post(t.Context(), t, cluster.daemons[0], "/v1/services/orders/tickets", `{}`, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read to its end
	var created struct{ Ticket string }
	if err := json.NewDecoder(response.Body).Decode(&created); err != nil {
		t.Fatal(err)
	}
	if err := cluster.daemons[0].Pause(); err != nil {
		t.Fatal(err)
	}
	header := map[string]string{"Carobspoke-Ticket": created.Ticket, "Carobspoke-Timeout-Ms": "1500"}
	for _, daemon := range cluster.daemons[1:] {
		text := callService(t, daemon, header)
		if !strings.Contains(text, `"may_have_run"`) {
			t.Fatalf("while the owner is paused: %s", text)
		}
	}
	if err := cluster.daemons[0].Resume(); err != nil {
		t.Fatal(err)
	}
	header["Carobspoke-Timeout-Ms"] = "10000"
	for _, daemon := range cluster.daemons {
		if text := callService(t, daemon, header); strings.Contains(text, `"error"`) {
			t.Fatalf("after the owner resumed: %s", text)
		}
	}
	ran := 0
	for _, s := range cluster.Fleet.Services() {
		ran += len(s.Runs())
	}
	if ran != 1 {
		t.Fatalf("replicas ran the call %d times", ran)
	}
}

func callService(t *testing.T, daemon *Daemon, header map[string]string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	response, err := post(ctx, t, daemon, "/v1/services/orders/call", `{}`, header)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read to its end
	var text bytes.Buffer
	if _, err := text.ReadFrom(response.Body); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// TestBootAgainstStaleServiceDoesNotRevert freezes the configuration service at
// a version older than the one in force at the daemons and restarts one daemon.
// If it trusted the stale service, it would start with the old version.
func TestBootAgainstStaleServiceDoesNotRevert(t *testing.T) {
	cluster := startCluster(t, 50)
	cluster.waitReady(t)
	freezeAtCheckpoint := cluster.Fleet.Platform().Checkpoint()
	m := cluster.Manifest()
	m.Version = 7
	if err := cluster.Publish(m); err != nil {
		t.Fatal(err)
	}
	for _, daemon := range cluster.daemons {
		waitVersion(t, daemon, 7)
	}
	freezeAtCheckpoint()
	if err := cluster.daemons[2].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := cluster.daemons[2].Restart(); err != nil {
		t.Fatal(err)
	}
	if err := cluster.daemons[2].WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := versionInForce(t, cluster.daemons[2]); got != 7 {
		t.Fatalf("the restarted daemon has version %d in force", got)
	}
}

func versionInForce(t *testing.T, daemon *Daemon) names.Version {
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
	for versionInForce(t, daemon) != want {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not reach version %d in time", daemon.Settings.Host, want)
		}
		time.Sleep(readyPollInterval)
	}
}

// TestStoppedDaemonCompletesStreams sends SIGTERM to a daemon during an answer.
// The daemon must send the rest of the answer before it exits.
func TestStoppedDaemonCompletesStreams(t *testing.T) {
	cluster := startCluster(t, 1)
	cluster.waitReady(t)
	response, err := post(t.Context(), t, cluster.daemons[0], "/v1/chat/completions", streamBody, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read to its end
	stopped := make(chan error, 1)
	go func() { stopped <- cluster.daemons[0].Stop() }()
	_, tokens, complete := readTokens(response.Body, 1000)
	if !complete || tokens != 60 {
		t.Fatalf("%d tokens, complete %t", tokens, complete)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// TestPortsOfKilledDaemonAreNotTaken has a listener at 127.0.0.1 take a port of a daemon
// that was killed, as another test may. The daemon must start again.
func TestPortsOfKilledDaemonAreNotTaken(t *testing.T) {
	cluster := startCluster(t, 50)
	cluster.waitReady(t)
	killed := cluster.daemons[0]
	if err := killed.Kill(); err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(killed.Settings.Admin.Listen)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	if err == nil { // otherwise another process has the port already
		defer func() { _ = other.Close() }()
	}
	if err := killed.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := killed.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
}
