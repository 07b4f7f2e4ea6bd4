package engine

import (
	"testing"
	"time"

	"carobspoke.example/core/target"
	"pgregory.net/rapid"
)

// TestMemoryNeverLosesABlock draws histories of streams that share prefixes.
func TestMemoryNeverLosesABlock(t *testing.T) {
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
				m.release(u.own)
				m.leave(u.entries)
				continue
			}
			scope := rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "scope")
			prefixes := []uint64{1, rapid.Uint64Range(2, 5).Draw(t, "prefix"), 9}
			u := user{own: rapid.IntRange(9, 40).Draw(t, "own"), entries: m.match(scope, prefixes)}
			if !m.reserve(u.own) {
				m.leave(u.entries)
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
		if m.used < 0 || m.used > m.total || m.idle > m.used {
			t.Fatalf("used %d, idle %d of %d", m.used, m.idle, m.total)
		}
		for _, u := range users {
			m.release(u.own)
			m.leave(u.entries)
		}
		if m.available() != m.total {
			t.Fatalf("%d of %d blocks are left", m.available(), m.total)
		}
	})
}

func TestACachedPrefixSavesPrefillWithinItsScopeOnly(t *testing.T) {
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
		t.Errorf("the same customer prefilled %d tokens", got)
	}
	if got := work("other", "c2"); got != 8192 {
		t.Errorf("another customer prefilled %d tokens", got)
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	config := testConfig()
	config.EventGap = 0.5
	config.EventDelay = time.Hour
	e, client := startEngine(t, config)
	e.mu.Lock()
	for i := range uint64(100) {
		e.cacheEvent(prefixKey{"c1", i}, true)
	}
	kept := e.events.after(0, time.Now())
	e.mu.Unlock()
	if early, err := client.Events(t.Context(), 0); err != nil || len(early) != 0 {
		t.Fatalf("before the delay: %d events, %v", len(early), err)
	}
	if len(kept) == 0 || len(kept) == 100 || kept[len(kept)-1].Seq <= uint64(len(kept)) {
		t.Fatalf("%d of 100 events, the last numbered %d", len(kept), kept[len(kept)-1].Seq)
	}
}

func TestReportsLagAndAreNumbered(t *testing.T) {
	var log reportLog
	start := time.Now()
	for i := range 10 {
		log.add(target.Report{MeasuredAt: start.Add(time.Duration(i) * time.Second)}, 3*time.Second)
	}
	got, ok := log.visible(start.Add(9*time.Second), 3*time.Second)
	if !ok || got.Seq != 7 || !got.MeasuredAt.Equal(start.Add(6*time.Second)) {
		t.Fatalf("got report %d of %s", got.Seq, got.MeasuredAt.Sub(start))
	}
}
