package experiment

import (
	"strings"
	"testing"
)

// The naive version must fail what the product is for, in the same run.
func TestProductKeepsShortPromptsFastWhereNaiveDoesNot(t *testing.T) {
	s, seeds := sizes()[0], []uint64{1}
	rows := measureAll(measure, []policy{product(), leastRequests()}, s, seeds)
	ours, naive := rows[0], rows[1]
	if got := ours.shortSlowdown(); got > 1.2 {
		t.Errorf("short prompts slowed %.2f", got)
	}
	if got := naive.shortSlowdown(); got < 3 {
		t.Errorf("the naive version slows short prompts by %.2f only", got)
	}
	if ours.crestGoodput < 0.95 || naive.crestGoodput > 0.8 {
		t.Errorf("goodput at the crest: %.2f, naive %.2f", ours.crestGoodput, naive.crestGoodput)
	}
	if late, started := ours.crest.late(), ours.crest.started(); late*100 > started {
		t.Errorf("%d of %d admitted are late", late, started)
	}
	if ours.small*100 < ours.solo*95 || naive.small*100 > naive.solo*70 {
		t.Errorf("the small customer keeps %s, naive %s", percent(ours.small, ours.solo), percent(naive.small, naive.solo))
	}
}

// An engine dies twice a minute, and a span lasts for one.
func TestSpansOutliveTheirEngines(t *testing.T) {
	s := sizes()[0]
	s.killEvery = killInterval / 2
	k := measureSpanning(product(), s, []uint64{1}).spanning.kinds[spanPrompt]
	if k.started == 0 || k.completed*100 < k.started*99 {
		t.Fatalf("%d of %d completed", k.completed, k.started)
	}
}

func TestRunsRepeatExactly(t *testing.T) {
	s := sizes()[0]
	list := spike(s, 7)
	a, b := simulate(product(), s, list, 7), simulate(product(), s, list, 7)
	if a.started() != b.started() || a.kinds[0].completed != b.kinds[0].completed ||
		quantile(a.kinds[1].waits, p95) != quantile(b.kinds[1].waits, p95) {
		t.Fatal("two runs with one seed differ")
	}
}

func TestCommandPrintsTables(t *testing.T) {
	var out strings.Builder
	c := Command()
	c.Writer = &out
	if err := c.Run(t.Context(), []string{"experiment", "--seeds", "0"}); err == nil {
		t.Fatal("no seeds are accepted")
	}
	if err := writeTable(&out, "title", columns(), []*measured{{policy: "empty"}}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "| empty | 0.00 |") {
		t.Fatalf("table: %s", out.String())
	}
}
