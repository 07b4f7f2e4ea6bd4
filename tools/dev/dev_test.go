package dev

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const testSpeedup = 50

func startDev(t *testing.T) *Environment {
	t.Helper()
	c := Config{Fleet: fleet.Config{Size: fleet.Dev, Speedup: testSpeedup}, Log: zap.NewNop()}
	d, err := Start(context.Background(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func client(d *Environment, number int, customer names.Customer) openai.Client {
	return clientOf(d.Daemons()[number], customer)
}

// refusedNotRun reports whether err is a refusal with the verdict not_run, so
// that the request can be retried.
func refusedNotRun(err error) bool {
	var refused *openai.Error
	return errors.As(err, &refused) && strings.Contains(refused.RawJSON(), `"verdict":"not_run"`)
}

func clientOf(entry *daemon.Daemon, customer names.Customer) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+entry.CallerAddress()+"/v1"),
		option.WithAPIKey(fleet.APIKey(customer)),
		option.WithMaxRetries(0),
	)
}

func chat(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "draft",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// wantText returns the stand-in engines' answer to a prompt of one user
// message.
func wantText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token("user: "+prompt+"\n", i))
	}
	return text.String()
}

func TestOpenAIClientReceivesPlainAndStreamedAnswers(t *testing.T) {
	d := startDev(t)
	ctx := t.Context()
	for i := range d.Daemons() {
		c := client(d, i, "customer-a")
		answer, err := c.Chat.Completions.New(ctx, chat("Draft a petition", 7))
		if err != nil {
			t.Fatal(err)
		}
		if got := answer.Choices[0].Message.Content; got != wantText("Draft a petition", 7) {
			t.Fatalf("plain answer %q", got)
		}
		stream := c.Chat.Completions.NewStreaming(ctx, chat("And another", 9))
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if text.String() != wantText("And another", 9) {
			t.Fatalf("streamed answer %q", text.String())
		}
	}
}

func TestOpenAIClientReceivesRefusals(t *testing.T) {
	d := startDev(t)
	cases := []struct {
		customer names.Customer
		model    string
		status   int
		code     string
	}{
		{"nobody", "draft", http.StatusUnauthorized, "unauthenticated"},
		{"customer-a", "unknown", http.StatusNotFound, "unknown_model"},
	}
	for _, tc := range cases {
		c := client(d, 0, tc.customer)
		params := chat("x", 1)
		params.Model = tc.model
		_, err := c.Chat.Completions.New(t.Context(), params)
		var refused *openai.Error
		if !errors.As(err, &refused) {
			t.Fatalf("%s: %v", tc.code, err)
		}
		if refused.StatusCode != tc.status || refused.Code != tc.code || !strings.Contains(refused.RawJSON(), `"verdict":"not_run"`) {
			t.Fatalf("status %d, %s", refused.StatusCode, refused.RawJSON())
		}
	}
}

func TestManifestIsInForceEverywhereAfterPublication(t *testing.T) {
	d := startDev(t)
	m := d.Manifest()
	m.Version++
	m.Customers = m.Customers[:len(m.Customers)-1]
	if err := d.Publish(m); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := client(d, 0, "customer-c")
	_, err := c.Chat.Completions.New(t.Context(), chat("x", 1))
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != http.StatusUnauthorized {
		t.Fatalf("request of a removed customer: error %v", err)
	}
}

func TestDrainedDaemonCompletesStreams(t *testing.T) {
	d := startDev(t)
	leaving := d.Daemons()[0]
	streamWhileDraining(t, d, leaving, leaving)
}

// streamWhileDraining reads an answer through the daemon entry while the daemon
// leaving is drained and removed, and fails if a token is missing.
func streamWhileDraining(t *testing.T, d *Environment, entry, leaving *daemon.Daemon) {
	t.Helper()
	const want = 500
	c := clientOf(entry, "customer-a")
	stream := c.Chat.Completions.NewStreaming(t.Context(), chat("long", want))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	removed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		removed <- d.RemoveDaemon(ctx, leaving)
	}()
	tokens := 1
	for stream.Next() {
		if stream.Current().Choices[0].Delta.Content != "" {
			tokens++
		}
	}
	if err := stream.Err(); err != nil || tokens != want {
		t.Fatalf("%d tokens, error %v", tokens, err)
	}
	if err := <-removed; err != nil {
		t.Fatal(err)
	}
}
