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
	// promptCount is how many prompts are sent sequentially, and
	// promptsTimeout how long they may take in total.
	promptCount    = 20
	promptsTimeout = 20 * time.Second
)

// TestPromptsAvoidUnreachableKeeper sends prompts through a daemon that reaches
// only one of the two keepers of the only engine. Once the daemon has detected
// that the other keeper is unreachable, callers must not wait for that keeper.
func TestPromptsAvoidUnreachableKeeper(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, singleEngineTwoKeepers)
	daemons := b.Daemons()
	requireAnswers(t, daemons)
	from, to := keeperAndNonKeeper(t, daemons)
	b.net.Cut(from.Host(), to.Host())
	began := time.Now()
	slowest := time.Duration(0)
	for i := range promptCount {
		sent := time.Now()
		requireAnswers(t, []*daemon.Daemon{from})
		slowest = max(slowest, time.Since(sent))
		if time.Since(began) > promptsTimeout {
			t.Fatalf("%d of %d prompts in %s, the slowest after %s", i+1, promptCount, time.Since(began), slowest)
		}
	}
}

const (
	// longAnswerTokens is the length of an answer that a partition interrupts.
	longAnswerTokens = 3000
	// answersPerDaemon is how many answers each daemon waits for during the
	// partition. With this many it is very unlikely that all of them are relayed
	// by keepers on the daemon's own side.
	answersPerDaemon = 3
)

// TestAnswersOutliveAPartition partitions the daemons while each waits for
// answers of the only engine, so that some of the answers are relayed by a keeper
// on the other side. All must still arrive complete and correct.
func TestAnswersOutliveAPartition(t *testing.T) {
	t.Parallel()
	b := startWith(t, 6, nil, singleEngineTwoKeepers)
	daemons := b.Daemons()
	requireAnswers(t, daemons)
	one, other := partitionWithKeepers(t, daemons)
	var callers sync.WaitGroup
	took := make([]time.Duration, answersPerDaemon*len(daemons))
	for i := range took {
		d := daemons[i%len(daemons)]
		callers.Go(func() {
			text := fmt.Sprintf("prompt %d", i)
			body := fmt.Sprintf(`{"model":"draft","prompt":"%s","max_tokens":%d}`, text, longAnswerTokens)
			began := time.Now()
			got := post(t.Context(), d.CallerAddress(), completionsPath, body, nil)
			took[i] = time.Since(began)
			if got.status != http.StatusOK || answerText(got.body) != expectedText(text, longAnswerTokens) {
				t.Errorf("%s: %d %.200s", d.Host(), got.status, got.body)
			}
		})
	}
	waitFor(t, "the engine runs all streams", func() bool {
		running := 0
		for _, e := range b.Fleet.Engines() {
			running += e.MeasureLoad().RunningStreams
		}
		return running == len(took)
	})
	b.net.Partition(one, other)
	callers.Wait()
	_, waits := b.net.Stats()
	waitFor(t, "the engines' blocks are freed", func() bool { return usedBlocks(b.Fleet) == 0 })
	t.Logf("%d connection waits; answers after %v", waits, took)
	if waits == 0 {
		t.Error("the partition interrupted no connection")
	}
}

// partitionWithKeepers divides the hosts of daemons into two halves with one
// keeper each.
func partitionWithKeepers(t *testing.T, daemons []*daemon.Daemon) (one, other []names.Host) {
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

// expectedText returns the answer of the stand-in engines to a prompt.
func expectedText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.Token(prompt, i))
	}
	return text.String()
}
