package verdict

import (
	"flag"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1") // the same cases in each run
}

func TestJoinNeverWeakens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Verdict(rapid.IntRange(0, 2).Draw(t, "a"))
		b := Verdict(rapid.IntRange(0, 2).Draw(t, "b"))
		if got := Join(a, b); got < a || got < b {
			t.Fatalf("Join(%s, %s) = %s", a, b, got)
		}
	})
}

func TestFromTakesAnUnknownErrorForMayHaveRun(t *testing.T) {
	if got := From(errors.New("x")).Verdict; got != MayHaveRun {
		t.Fatalf("verdict = %s", got)
	}
	inner := New(NotRun, NoTarget, "none")
	if got := From(errors.Wrap(inner, "outer")); got != inner {
		t.Fatalf("From lost the verdict: %v", got)
	}
}

func TestParseReadsNewWordsSafely(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if Parse(v.String()) != v {
			t.Fatalf("%s does not survive", v)
		}
	}
	if Parse("perhaps") != MayHaveRun {
		t.Fatal("an unknown word must not prove anything")
	}
}
