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

func TestAScheduleIsAFunctionOfItsSeed(t *testing.T) {
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
		t.Fatalf("%d texts of %d requests", len(prompts), len(schedule))
	}
}

func TestLeavingAClassOutLeavesTheOthersAsTheyWere(t *testing.T) {
	schedule := mustLoad(t, "tuuraj").Schedule()
	left := Without(schedule, []string{"long", "spanning"})
	if len(left) == len(schedule) {
		t.Fatal("nothing was left out")
	}
	for _, r := range left {
		if r.Class == "long" || !reflect.DeepEqual(r, schedule[r.Index]) {
			t.Fatalf("request %d changed", r.Index)
		}
	}
}

// TestTheFilesHaveTheMixThatTheyAreFor counts long prompts, crests and
// customers over a long schedule.
func TestTheFilesHaveTheMixThatTheyAreFor(t *testing.T) {
	for _, name := range []string{"sahayatri", "tuuraj", "small", "faults"} {
		w := mustLoad(t, name)
		if len(w.Swings) == 0 {
			continue
		}
		calm, crest := crestRates(w)
		if crest < 1.5*calm {
			t.Errorf("%s: %.1f arrivals a second at the crest, %.1f else", name, crest, calm)
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
			t.Errorf("%s: a share of %.4f is over 100,000 tokens", name, share)
		}
		if longest < 900_000 || longest > 1_000_000 {
			t.Errorf("%s: the longest prompt has %d tokens", name, longest)
		}
	}
}

func crestRates(w *Workload) (calm, crest float64) {
	swings := time.Duration(0)
	for _, s := range w.Swings {
		swings += time.Duration(s.For)
	}
	for _, r := range w.Schedule() {
		if r.Crest {
			crest++
			continue
		}
		calm++
	}
	return calm / (time.Duration(w.Duration) - swings).Seconds(), crest / swings.Seconds()
}

func TestAnUnknownKeyIsAnError(t *testing.T) {
	if _, err := Parse([]byte("duraton = \"1s\"\n")); err == nil {
		t.Fatal("accepted")
	}
}
