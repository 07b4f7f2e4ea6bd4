package reach

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"github.com/cockroachdb/datadriven"
)

// TestTable prints what a daemon knows of its way to targets after each step. Times are in
// milliseconds.
func TestTable(t *testing.T) {
	changes := map[Change]string{Unchanged: "unchanged", CutOff: "cut off", Restored: "restored"}
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		table := New()
		now := time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var id names.Target
			var ms int
			switch {
			case scan(line, "after %d", &ms):
				now = now.Add(time.Duration(ms) * time.Millisecond)
			case scan(line, "connects to %s", &id):
				fmt.Fprintf(&out, "%s: %s\n", line, changes[table.Connected(id, now)])
			case scan(line, "through a peer to %s", &id):
				fmt.Fprintf(&out, "%s: %s\n", line, changes[table.Detoured(id, now)])
			case line == "hears a target":
				table.Heard(now)
			case scan(line, "way to %s", &id):
				fmt.Fprintf(&out, "%s: through a peer first %v\n", line, table.PeerFirst(id))
			case scan(line, "quiet for %d", &ms):
				fmt.Fprintf(&out, "%s: check %v\n", line, table.CheckDue(time.Duration(ms)*time.Millisecond, now))
			case scan(line, "removed %s", &id):
				table.Sweep(func(listed names.Target) bool { return listed != id })
			case line == "state":
				fmt.Fprintf(&out, "cut off %v, %d detours, confirms %v\n", table.IsCutOff(), table.Detours(), table.ReachesTargets(now))
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

// Guards against probes of hundreds of targets at once, and against one that is never
// probed.
func TestProbesReachAllDetoursInTurn(t *testing.T) {
	table := New()
	random := rand.New(rand.NewPCG(1, 2))
	if probes := table.Probes(random); len(probes) != 0 {
		t.Fatalf("probes %v without a detour", probes)
	}
	const targets = 20
	for i := range targets {
		table.Detoured(names.Target(fmt.Sprint(i)), time.Unix(1000, 0))
	}
	seen := make(map[names.Target]bool)
	for range 100 {
		probes := table.Probes(random)
		if len(probes) != maxProbes {
			t.Fatalf("%d probes", len(probes))
		}
		for _, id := range probes {
			seen[id] = true
		}
	}
	if len(seen) != targets {
		t.Fatalf("%d of %d targets were probed", len(seen), targets)
	}
}
