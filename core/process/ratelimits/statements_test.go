package ratelimits

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"github.com/cockroachdb/datadriven"
)

// TestStatements prints what a table with room for three targets keeps after each step.
// Times are in milliseconds.
func TestStatements(t *testing.T) {
	datadriven.RunTest(t, "testdata/statements", func(t *testing.T, d *datadriven.TestData) string {
		table := New()
		table.capacity = 3
		listed := make(map[names.Target]int64)
		start := time.Unix(1000, 0)
		now := start
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var i replicas.Incarnation
			var s Statement
			var sent, read, seconds int
			switch {
			case scan(line, "states %s %d rate %g sent %d read %d", &i.ID, &i.Started, &s.Rate, &sent, &read):
				s.SentAt, s.ReadAt = at(sent), at(read)
				c := table.Record(i, s, now)
				fmt.Fprintf(&out, "%s: changed %v, %g to %g, bounded %v\n", line, c.Changed, c.Before, c.After, c.Bounded)
			case scan(line, "lists %s %d", &i.ID, &i.Started):
				listed[i.ID] = i.Started
			case scan(line, "removes %s", &i.ID):
				delete(listed, i.ID)
			case scan(line, "after %d s", &seconds):
				now = now.Add(time.Duration(seconds) * time.Second)
				table.Sweep(func(id names.Target) (int64, bool) { started, ok := listed[id]; return started, ok }, now)
			case scan(line, "asks %s %d", &i.ID, &i.Started):
				rate, age := table.Rate(i, now)
				fmt.Fprintf(&out, "%s: %g, %s old\n", line, rate, age)
			case line == "all":
				fmt.Fprintf(&out, "%d in force:", table.Len())
				for _, c := range table.Claims(now) {
					fmt.Fprintf(&out, " %s %d %g", c.ID, c.Started, c.Rate)
				}
				out.WriteByte('\n')
			default:
				t.Fatalf("unknown step %q", line)
			}
		}
		return out.String()
	})
}

// scan reports whether a line has the given form, and sets the values.
func scan(line, form string, values ...any) bool {
	n, err := fmt.Sscanf(line, form, values...)
	return err == nil && n == len(values)
}
