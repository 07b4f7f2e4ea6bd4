package trace

import (
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/version/routing"
)

const secondsLog = `   0.1 host-a {"time":"2026-01-01T00:00:01.9Z","msg":"placed","request":"r1","tokens":190000}
   0.1 host-a {"time":"2026-01-01T00:00:02.1Z","msg":"answered","request":"r1","route":"long","class":"giant_prompt","queue":100,"first":900,"took":1000,"sends":1}
{"time":"2026-01-01T00:00:01.2Z","msg":"answered","request":"r2","route":"short","class":"short_prompt","queue":5,"first":45,"took":100}
{"time":"2026-01-01T00:00:01.3Z","msg":"answered","request":"r3","route":"short","class":"short_prompt","queue":5,"first":251,"took":260}
{"time":"2026-01-01T00:00:01.4Z","msg":"not answered","request":"r4","route":"short","reason":"overloaded","verdict":"not_run","took":0.5}
{"time":"2026-01-01T00:00:02.9Z","msg":"not answered","request":"r4","route":"short","reason":"overloaded","verdict":"not_run","took":0.5}
{"time":"2026-01-01T00:00:02.95Z","msg":"not answered","request":"r5","route":"long","reason":"overloaded","verdict":"not_run","took":0.5,"tokens":30000,"priority":2,"returned":true}
{"time":"2026-01-01T00:00:02.96Z","msg":"not answered","request":"r6","route":"short","reason":"target_failed","verdict":"may_have_run","took":3}
{"time":"2026-01-01T00:00:02.97Z","msg":"not answered","request":"r7","route":"short","reason":"caller_gone","verdict":"not_run","took":3}
not a line of a daemon {r1}
`

// Guards against requests that are counted in the second of their end, against refusals that
// are lost among other ends, and against sizes and priorities that are mixed up.
func TestSeconds(t *testing.T) {
	s := NewSeconds(&routing.Config{Routes: []routing.Route{
		{Name: "short", Priority: 0, LatencyTarget: 250 * time.Millisecond}, {Name: "long", Priority: 1, LatencyTarget: time.Second},
	}})
	if err := s.AddLog(strings.NewReader(secondsLog)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := s.Print(&out); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"second priority size arrived served late in daemon p50 max at target p50 max refused again failed",
		"00:00:01 0 short_prompt 3 2 1 5 5 246 246 1 0 0",
		"00:00:01 1 giant_prompt 1 1 0 100 100 800 800 0 0 0",
		"00:00:02 0 short_prompt 3 0 0 - - - - 1 1 2",
		"00:00:02 2 long_prompt 1 0 0 - - - - 1 1 0",
		"refused overloaded: priority 0, short_prompt: 2",
		"refused overloaded: priority 2, long_prompt: 1",
		"7 of 8 requests are logged without a priority; that of the route in --config stands for it",
		"2 refusals do not tell whether the request returned after one; only a repeated ID shows it",
	}
	if got := strings.Join(lines, "\n"); got != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
}

// Without a configuration the table must not claim a priority or that nothing is late.
func TestSecondsWithoutConfiguration(t *testing.T) {
	s := NewSeconds(nil)
	if err := s.AddLog(strings.NewReader(secondsLog)); err != nil {
		t.Fatal(err)
	}
	for _, g := range s.groups() {
		if g.late > 0 || g.priority != unknown && g.size != "long_prompt" {
			t.Errorf("group %+v", g)
		}
	}
}
