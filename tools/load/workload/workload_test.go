package workload

import (
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

func mustLoad(t *testing.T, name string) *Workload {
	t.Helper()
	w, err := Load(filepath.Join("..", "..", "workloads", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestScheduleDependsOnSeedAlone(t *testing.T) {
	first, second := mustLoad(t, "sahayatri"), mustLoad(t, "sahayatri")
	schedule := first.Schedule()
	if !reflect.DeepEqual(schedule, second.Schedule()) {
		t.Fatal("the same seed gave two schedules")
	}
	second.Seed++
	if reflect.DeepEqual(schedule, second.Schedule()) {
		t.Fatal("two seeds gave the same schedule")
	}
	prompts := map[string]bool{}
	for i := range schedule {
		if schedule[i].Call == nil {
			prompts[schedule[i].Prompt()] = true
			continue
		}
		prompts[string(schedule[i].Body())] = true
	}
	if len(prompts) != len(schedule) {
		t.Fatalf("%d different texts of %d requests", len(prompts), len(schedule))
	}
}

func TestWithoutKeepsOtherRequestsUnchanged(t *testing.T) {
	schedule := mustLoad(t, "tuuraj").Schedule()
	remaining := Without(schedule, []string{"long", "spanning"})
	if len(remaining) == len(schedule) {
		t.Fatal("no request was left out")
	}
	for _, r := range remaining {
		if r.Class == "long" || !reflect.DeepEqual(r, schedule[r.Index]) {
			t.Fatalf("request %d changed or should have been left out", r.Index)
		}
	}
}

// TestWorkloadFilesHaveIntendedMix guards against edits of the workload files
// that flatten the swings of the rate or change the share and length of long
// prompts. Prompts are counted over a schedule of an hour without swings.
func TestWorkloadFilesHaveIntendedMix(t *testing.T) {
	for _, name := range []string{"sahayatri", "tuuraj", "small", "faults"} {
		w := mustLoad(t, name)
		if len(w.Swings) == 0 {
			continue
		}
		base, crest := crestRates(w)
		if crest < 1.5*base {
			t.Errorf("%s: %.1f arrivals a second at the crest, %.1f at other times", name, crest, base)
		}
		w.Duration, w.Swings = Duration(time.Hour), nil
		generations, long, longest := 0, 0, 0
		for _, r := range w.Schedule() {
			if r.Call != nil {
				continue
			}
			generations++
			longest = max(longest, r.PromptTokens)
			if r.PromptTokens > 100_000 {
				long++
			}
		}
		if share := float64(long) / float64(generations); share < 0.015 || share > 0.03 {
			t.Errorf("%s: a share of %.4f of the prompts is over 100,000 tokens", name, share)
		}
		if longest < 900_000 || longest > 1_000_000 {
			t.Errorf("%s: the longest prompt has %d tokens", name, longest)
		}
	}
}

// crestRates returns the arrivals a second outside and within swings.
func crestRates(w *Workload) (base, crest float64) {
	swings := time.Duration(0)
	for _, s := range w.Swings {
		swings += time.Duration(s.For)
	}
	for _, r := range w.Schedule() {
		if r.Crest {
			crest++
			continue
		}
		base++
	}
	return base / (time.Duration(w.Duration) - swings).Seconds(), crest / swings.Seconds()
}

func TestParseRejectsUnknownKey(t *testing.T) {
	if _, err := Parse([]byte("duraton = \"1s\"\n")); err == nil {
		t.Fatal("a file with an unknown key was accepted")
	}
}
