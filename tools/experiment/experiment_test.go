package experiment

import (
	"strings"
	"testing"
)

// Guards against a slowdown of short prompts, lost goodput under overload and
// unfairness between customers. The naive policy must miss the same bounds on
// the same workload, which shows that the workload is hard enough.
func TestProductKeepsShortPromptsFastWhereNaiveDoesNot(t *testing.T) {
	s, seeds := sizes()[0], []uint64{1}
	rows := measureAll(measure, []policy{product(), leastRequests()}, s, seeds)
	ours, naive := rows[0], rows[1]
	if got := ours.shortSlowdown(); got > 1.2 {
		t.Errorf("slowdown of short prompts = %.2f", got)
	}
	if got := naive.shortSlowdown(); got < 3 {
		t.Errorf("the naive policy slows short prompts by only %.2f", got)
	}
	if ours.overloadGoodput < 0.95 || naive.overloadGoodput > 0.8 {
		t.Errorf("goodput under overload = %.2f, naive %.2f", ours.overloadGoodput, naive.overloadGoodput)
	}
	if late, started := ours.overload.late(), ours.overload.started(); late*100 > started {
		t.Errorf("%d of %d admitted attempts are late", late, started)
	}
	if ours.smallTokens*100 < ours.smallAloneTokens*95 || naive.smallTokens*100 > naive.smallAloneTokens*70 {
		t.Errorf("goodput of the small customer = %s, naive %s", percent(ours.smallTokens, ours.smallAloneTokens), percent(naive.smallTokens, naive.smallAloneTokens))
	}
}

// Guards against spans that are lost with an engine: an engine fails twice a
// minute, and a span takes about one minute.
func TestSpansSurviveEngineFailures(t *testing.T) {
	s := sizes()[0]
	s.killEvery = killInterval / 2
	k := measureSpanning(product(), s, []uint64{1}).spanning.kinds[spanPrompt]
	if k.started == 0 || k.completed*100 < k.started*99 {
		t.Fatalf("%d of %d spans completed", k.completed, k.started)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	s := sizes()[0]
	list := spike(s, 7)
	a, b := simulate(product(), s, list, 7), simulate(product(), s, list, 7)
	if a.started() != b.started() || a.kinds[0].completed != b.kinds[0].completed ||
		quantile(a.kinds[1].waits, p95) != quantile(b.kinds[1].waits, p95) {
		t.Fatal("two runs with the same seed differ")
	}
}

func TestCommandPrintsTables(t *testing.T) {
	var out strings.Builder
	c := Command()
	c.Writer = &out
	if err := c.Run(t.Context(), []string{"experiment", "--seeds", "0"}); err == nil {
		t.Fatal("zero seeds accepted")
	}
	if err := writeTable(&out, "title", columns(), []*measured{{policy: "empty"}}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "| empty | 0.00 |") {
		t.Fatalf("table: %s", out.String())
	}
}
