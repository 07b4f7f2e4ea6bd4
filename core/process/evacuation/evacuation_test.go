package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"github.com/cockroachdb/datadriven"
)

// TestTable prints what a table knows after each step. Times are in ms since its start.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		table := New()
		start := time.Unix(1000, 0)
		now := start
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var dc names.DataCentre
			var revision uint64
			var ms int
			switch {
			case scan(line, "put %s %d", &dc, &revision):
				fmt.Fprintf(&out, "%s: new %v\n", line, table.Put(dc, revision, now))
			case scan(line, "hold %s", &dc):
				fmt.Fprintf(&out, "%s: new %v\n", line, table.Hold(dc, now))
			case scan(line, "remove %s %d", &dc, &revision):
				fmt.Fprintf(&out, "%s: ended %v\n", line, table.Remove(dc, revision, now))
			case scan(line, "absent %s %d", &dc, &revision):
				fmt.Fprintf(&out, "%s: ended %v\n", line, table.Absent(dc, revision, now))
			case line == "restore":
				table.Restore(now)
			case scan(line, "after %d", &ms):
				now = now.Add(time.Duration(ms) * time.Millisecond)
				ended := table.Expire(now)
				fmt.Fprintf(&out, "%s: ended %v\n", line, ended)
			case line == "all":
				fmt.Fprintf(&out, "evacuated%s, taken back%s\n", text(table.InForce(), start), text(table.TakenBack(), start))
			default:
				t.Fatalf("unknown step %q", line)
			}
		}
		return out.String()
	})
}

func text(times map[names.DataCentre]time.Time, start time.Time) string {
	var list []string
	for dc, at := range times {
		list = append(list, fmt.Sprintf(" %s at %d", dc, at.Sub(start).Milliseconds()))
	}
	slices.Sort(list)
	return strings.Join(list, "")
}

// scan reports whether a line has the given form, and sets the values.
func scan(line, form string, values ...any) bool {
	n, err := fmt.Sscanf(line, form, values...)
	return err == nil && n == len(values)
}
