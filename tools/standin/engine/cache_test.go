package engine

import (
	"testing"
	"time"

	"carobspoke.example/core/target"
	"pgregory.net/rapid"
)

// TestMemoryBlocksAreConserved checks the block accounting for random sequences
// of streams that share prefixes: no block is lost or counted twice.
func TestMemoryBlocksAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory(64, func(prefixKey, bool) {})
		type user struct {
			own     int
			entries []*entry
		}
		var users []user
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(users) > 0 && rapid.Bool().Draw(t, "leave") {
				u := users[0]
				users = users[1:]
				m.releaseBlocks(u.own)
				m.releaseEntries(u.entries)
				continue
			}
			scope := rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "scope")
			prefixes := []uint64{1, rapid.Uint64Range(2, 5).Draw(t, "prefix"), 9}
			u := user{own: rapid.IntRange(9, 40).Draw(t, "own"), entries: m.match(scope, prefixes)}
			if !m.reserveBlocks(u.own) {
				m.releaseEntries(u.entries)
				continue
			}
			for i := len(u.entries); i < len(prefixes); i++ {
				if added := m.insert(prefixKey{scope, prefixes[i]}, 3); added != nil {
					u.own -= 3
					u.entries = append(u.entries, added)
				}
			}
			users = append(users, u)
		}
		if m.usedBlocks < 0 || m.usedBlocks > m.total || m.idleBlocks > m.usedBlocks {
			t.Fatalf("%d blocks used, %d idle, of %d in total", m.usedBlocks, m.idleBlocks, m.total)
		}
		for _, u := range users {
			m.releaseBlocks(u.own)
			m.releaseEntries(u.entries)
		}
		if m.available() != m.total {
			t.Fatalf("%d of %d blocks are available after all streams ended", m.available(), m.total)
		}
	})
}

func TestCachedPrefixIsReusedOnlyWithinItsScope(t *testing.T) {
	e, client := startEngine(t, testConfig())
	submit := testSubmit("first")
	submit.PromptTokens = 8192
	submit.Prefixes = []uint64{11, 12, 13}
	readAll(t, mustSubmit(t, client, submit), submit.Prompt, 0)
	work := func(id, scope string) int {
		again := submit
		again.Stream, again.Scope = target.StreamID(id), scope
		readAll(t, mustSubmit(t, client, again), again.Prompt, 0)
		return e.findStream(again.Stream).toPrefill
	}
	if got := work("same", "c1"); got != 8192-4096 {
		t.Errorf("the same scope: prefilled %d tokens", got)
	}
	if got := work("other", "c2"); got != 8192 {
		t.Errorf("another scope: prefilled %d tokens", got)
	}
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	config := testConfig()
	config.EventLossRate = 0.5
	config.EventDelay = time.Hour
	e, client := startEngine(t, config)
	e.mu.Lock()
	for i := range uint64(100) {
		e.recordCacheEvent(prefixKey{"c1", i}, true)
	}
	kept := e.events.after(0, time.Now())
	e.mu.Unlock()
	if early, err := client.Events(t.Context(), 0); err != nil || len(early) != 0 {
		t.Fatalf("before the delay: got %d events, error %v", len(early), err)
	}
	if len(kept) == 0 || len(kept) == 100 || kept[len(kept)-1].Seq <= uint64(len(kept)) {
		t.Fatalf("kept %d of 100 events, the last with sequence number %d", len(kept), kept[len(kept)-1].Seq)
	}
}

func TestReportsAreDelayedAndNumbered(t *testing.T) {
	var log reportLog
	start := time.Now()
	for i := range 10 {
		log.add(target.Report{MeasuredAt: start.Add(time.Duration(i) * time.Second)}, 3*time.Second)
	}
	got, ok := log.visible(start.Add(9*time.Second), 3*time.Second)
	if !ok || got.Seq != 7 || !got.MeasuredAt.Equal(start.Add(6*time.Second)) {
		t.Fatalf("got report %d, measured %s after the start", got.Seq, got.MeasuredAt.Sub(start))
	}
}
