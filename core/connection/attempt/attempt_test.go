package attempt

import (
	"flag"
	"fmt"
	"testing"

	"carobspoke.example/core/target"
	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestFrames runs one command per line: "begin" starts an attempt, and "token
// ATTEMPT OFFSET", "end ATTEMPT TOTAL" and "fail ATTEMPT OFFSET" are frames.
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

// step runs one command and returns the result.
func step(c *Checker, line string) string {
	if line == "begin" {
		number, offset := c.Begin()
		return fmt.Sprintf("attempt %d from %d", number, offset)
	}
	var command string
	var f target.Frame
	if _, err := fmt.Sscanf(line, "%s %d %d", &command, &f.Attempt, &f.Offset); err != nil {
		return err.Error()
	}
	f.End = command != "token"
	if command == "fail" {
		f.Failure = "evicted"
	}
	action, err := c.Accept(f)
	if err != nil {
		return err.Error()
	}
	return []string{"discard", "deliver", "finish"}[action]
}

// TestAnswerIsDeliveredInOrder offers random frames of several attempts. Tokens
// must be delivered in order, starting at 0, and the answer must finish only
// after all tokens.
func TestAnswerIsDeliveredInOrder(t *testing.T) {
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
				t.Fatalf("token %d delivered after %d tokens", f.Offset, delivered)
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
