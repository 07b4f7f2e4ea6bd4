package attempt

import (
	"flag"
	"fmt"
	"testing"

	"carobspoke.example/core/target"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestFrames reads one frame a line: "begin", "token ATTEMPT OFFSET",
// "end ATTEMPT TOTAL" or "fail ATTEMPT OFFSET".
func TestFrames(t *testing.T) {
	datadriven.RunTest(t, "testdata/frames", func(t *testing.T, d *datadriven.TestData) string {
		var from int
		d.ScanArgs(t, "from", &from)
		checker := New(from)
		var out string
		for _, line := range lines(d.Input) {
			out += step(checker, line) + "\n"
		}
		return out
	})
}

func lines(text string) []string {
	var all []string
	for start, i := 0, 0; i <= len(text); i++ {
		if i == len(text) || text[i] == '\n' {
			all = append(all, text[start:i])
			start = i + 1
		}
	}
	return all
}

func step(c *Checker, line string) string {
	if line == "begin" {
		number, from := c.Begin()
		return fmt.Sprintf("attempt %d from %d", number, from)
	}
	var word string
	var f target.Frame
	if _, err := fmt.Sscanf(line, "%s %d %d", &word, &f.Attempt, &f.Offset); err != nil {
		return err.Error()
	}
	f.End = word != "token"
	if word == "fail" {
		f.Failure = "evicted"
	}
	action, err := c.Accept(f)
	if err != nil {
		return err.Error()
	}
	return []string{"discard", "deliver", "finish"}[action]
}

// TestWholeAnswer shuffles frames of several attempts: what is delivered is
// always the tokens 0, 1, 2 in order, and it finishes only when all came.
func TestWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 6
		checker := New(0)
		delivered := 0
		checker.Begin()
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			f := target.Frame{
				Attempt: uint32(rapid.IntRange(0, 4).Draw(t, "attempt")),
				Offset:  rapid.IntRange(0, total).Draw(t, "offset"),
			}
			f.End = f.Offset == total
			action, err := checker.Accept(f)
			switch {
			case err != nil:
				checker.Begin()
			case action == Deliver && f.Offset != delivered:
				t.Fatalf("token %d after %d tokens", f.Offset, delivered)
			case action == Deliver:
				delivered++
			case action == Finish && delivered != total:
				t.Fatalf("finished after %d tokens", delivered)
			}
		}
	})
}

// init fixes the seed of the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
