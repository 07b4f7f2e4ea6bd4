package joint

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/engine"
)

const (
	// prompts is how many prompts are sent one after the other, and
	// promptsWithin how long they may take together.
	prompts       = 20
	promptsWithin = 20 * time.Second
)

// TestPromptsAvoidAKeeperThatCannotBeReached sends prompts through a daemon
// that reaches one of two keepers of the only engine. A caller need not wait
// for the other keeper once the daemon has found out.
func TestPromptsAvoidAKeeperThatCannotBeReached(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, twoKeepers)
	daemons := b.Daemons()
	answers(t, daemons)
	from, to := pair(t, daemons)
	b.net.Cut(from.Host(), to.Host())
	began := time.Now()
	slowest := time.Duration(0)
	for i := range prompts {
		sent := time.Now()
		answers(t, []*daemon.Daemon{from})
		slowest = max(slowest, time.Since(sent))
		if time.Since(began) > promptsWithin {
			t.Fatalf("%d of %d prompts in %s, the slowest after %s", i+1, prompts, time.Since(began), slowest)
		}
	}
}

const (
	// longAnswer is the length of an answer in tokens that a partition
	// interrupts.
	longAnswer = 3000
	// eachAsks is how many answers each daemon waits for then. With as many,
	// chance gives hardly ever all of them a relay on their own side.
	eachAsks = 3
)

// TestAnswersOutliveAPartition parts the daemons while each waits for answers
// of the only engine, so that some wait through a keeper on the other side.
func TestAnswersOutliveAPartition(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, twoKeepers)
	daemons := b.Daemons()
	answers(t, daemons)
	one, other := sidesWithAKeeper(t, daemons)
	var callers sync.WaitGroup
	took := make([]time.Duration, eachAsks*len(daemons))
	for i := range took {
		d := daemons[i%len(daemons)]
		callers.Go(func() {
			text := fmt.Sprintf("prompt %d", i)
			body := fmt.Sprintf(`{"model":"draft","prompt":"%s","max_tokens":%d}`, text, longAnswer)
			began := time.Now()
			got := post(t.Context(), d.CallerAddress(), completions, body, nil)
			took[i] = time.Since(began)
			if got.status != http.StatusOK || answerText(got.body) != wantText(text, longAnswer) {
				t.Errorf("%s: %d %.200s", d.Host(), got.status, got.body)
			}
		})
	}
	within(t, "the engine runs all", func() bool {
		running := 0
		for _, e := range b.Fleet.Engines() {
			running += e.MeasureLoad().RunningStreams
		}
		return running == len(took)
	})
	b.net.Part(one, other)
	callers.Wait()
	_, held := b.net.Lost()
	within(t, "the engines' blocks are free", func() bool { return used(b.Fleet) == 0 })
	t.Logf("%d waits; answers after %v", held, took)
	if held == 0 {
		t.Error("the partition interrupted nothing")
	}
}

// sidesWithAKeeper divides daemons in two halves with a keeper each.
func sidesWithAKeeper(t *testing.T, daemons []*daemon.Daemon) (one, other []names.Host) {
	t.Helper()
	keepers := 0
	var rest []names.Host
	for _, d := range daemons {
		switch {
		case !d.KeepsEngineOf("draft"):
			rest = append(rest, d.Host())
		case keepers == 0:
			one = append(one, d.Host())
			keepers++
		default:
			other = append(other, d.Host())
			keepers++
		}
	}
	if keepers != 2 {
		t.Fatalf("%d daemons keep the engine", keepers)
	}
	half := len(rest) / 2
	return append(one, rest[:half]...), append(other, rest[half:]...)
}

func answerText(body []byte) string {
	var document struct{ Choices []struct{ Text string } }
	_ = json.Unmarshal(body, &document) // an unreadable answer has no text
	if len(document.Choices) != 1 {
		return ""
	}
	return document.Choices[0].Text
}

// wantText is what the stand-in engines answer to a prompt.
func wantText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token(prompt, i))
	}
	return text.String()
}
