package verdict

import (
	"flag"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1") // fixed seed for reproducible cases
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

func TestFromReturnsMayHaveRunForOtherErrors(t *testing.T) {
	if got := From(errors.New("x")).Verdict; got != MayHaveRun {
		t.Fatalf("verdict = %s", got)
	}
	inner := New(NotRun, NoTarget, "none")
	if got := From(errors.Wrap(inner, "outer")); got != inner {
		t.Fatalf("From did not return the wrapped error: %v", got)
	}
}

func TestParseReadsUnknownNamesAsMayHaveRun(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if Parse(v.String()) != v {
			t.Fatalf("Parse does not return %s for its own name", v)
		}
	}
	if Parse("perhaps") != MayHaveRun {
		t.Fatal("an unknown name is not read as MayHaveRun")
	}
}
