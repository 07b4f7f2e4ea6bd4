package engine

import (
	"testing"
	"time"

	"carobspoke.example/core/target"
	"pgregory.net/rapid"
)

// TestStepTimeGrowsWithEachComponent checks that a step takes longer after an
// increase of any kind of work in it.
func TestStepTimeGrowsWithEachComponent(t *testing.T) {
	config := Default()
	rapid.Check(t, func(t *rapid.T) {
		running := rapid.SliceOfN(rapid.IntRange(1, 1<<20), 1, 32).Draw(t, "contexts")
		tokens := rapid.IntRange(1, 1024).Draw(t, "tokens")
		context := rapid.IntRange(0, 1<<20).Draw(t, "context")
		base := stepOf(running, context, tokens)
		duration := config.stepTime(base)
		grown := map[string]step{
			"batch":       stepOf(append([]int{1}, running...), context, tokens),
			"KV in use":   stepOf(append([]int{running[0] + 1000}, running[1:]...), context, tokens),
			"chunk":       stepOf(running, context, tokens+16),
			"context":     stepOf(running, context+1000, tokens),
			"remote part": withPart(base),
		}
		for what, s := range grown {
			if config.stepTime(s) <= duration {
				t.Fatalf("with more of %s the step took %s, without %s", what, config.stepTime(s), duration)
			}
		}
	})
}

func stepOf(contexts []int, prefilled, tokens int) step {
	var s step
	for _, context := range contexts {
		s.decode = append(s.decode, &stream{localTokens: context})
	}
	s.chunks = []chunk{{&stream{prefilled: prefilled}, tokens}}
	return s
}

func withPart(s step) step {
	first := *s.decode[0]
	first.submit.Parts = []target.Part{{}}
	s.decode = append([]*stream{&first}, s.decode[1:]...)
	return s
}

func TestLongPrefillIsInterleavedWithDecodingAndYieldsToPriority(t *testing.T) {
	e := &Server{config: testConfig().withDefaults()}
	e.clearLocked()
	now := time.Now()
	add := func(id string, p phase, priority, prompt int) *stream {
		submit := target.Submit{Stream: target.StreamID(id), Priority: priority, PromptTokens: prompt, MaxTokens: 10}
		s := e.newStreamLocked(submit)
		s.phase = p
		s.toPrefill = prompt
		e.streams[submit.Stream] = s
		e.running[submit.Stream] = s
		return s
	}
	running := add("running", decoding, 0, 100)
	long := add("long", prefilling, 0, 1_000_000)
	next := e.planStepLocked(now)
	if len(next.decode) != 1 || next.decode[0] != running || len(next.chunks) != 1 || next.chunks[0].tokens != e.config.ChunkTokens {
		t.Fatalf("got step %+v", next)
	}
	urgent := add("urgent", waiting, 3, 300)
	next = e.planStepLocked(now)
	if len(next.chunks) != 2 || next.chunks[0].stream != urgent || next.chunks[1].stream != long {
		t.Fatalf("got step %+v", next)
	}
	if got := next.chunks[0].tokens + next.chunks[1].tokens; got != e.config.ChunkTokens {
		t.Fatalf("step prefills %d tokens in total", got)
	}
}
