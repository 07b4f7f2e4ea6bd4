package trace

import (
	"strings"
	"testing"
)

const logs = `   1.0 edge-a {"time":"T2","msg":"send failed","request":"r1","target":"t-1","reason":"target_failed","verdict":"may_have_run","hung":true}
   0.9 edge-a {"time":"T1","msg":"placed","request":"r1","target":"t-1","predicted":62}
   0.9 edge-a {"time":"T1","msg":"placed","request":"r10","target":"t-1"}
   1.3 edge-a {"time":"T3","msg":"not answered","request":"r1","reason":"target_failed","verdict":"may_have_run","took":400.5}
not a line of a daemon {r1}
{"time":"T9","msg":"answered","request":"r2","took":12,"first":5,"longest_pause":3}
{"time":"T4","msg":"placed","request":"r3"}
`

func TestRequestTraceAndOutcome(t *testing.T) {
	cases := map[string]string{
		"r1": "not answered: target_failed (may_have_run) after 400.5 ms and 1 sends; the last send failed at target t-1: target_failed, which said nothing for too long",
		"r2": "answered after 12 ms, the first event after 5 ms, the longest pause 3 ms, 0 sends",
		"r3": "the logs end before the request does: its daemon died, or the lines were dropped",
		"r4": "no line names this request: it reached no daemon whose log was read, or its lines were dropped",
	}
	for request, want := range cases {
		lines, err := ReadLines(strings.NewReader(logs), "file", request)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if err := Print(&out, lines); err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(out.String(), want+"\n") {
			t.Errorf("request %s:\n%s\nwant it to end with %s", request, out.String(), want)
		}
	}
	lines, err := ReadLines(strings.NewReader(logs), "file", "r1")
	if err != nil || len(lines) != 3 {
		t.Fatalf("got error %v, %d lines", err, len(lines))
	}
	var out strings.Builder
	if err := Print(&out, lines); err != nil {
		t.Fatal(err)
	}
	if first := strings.SplitN(out.String(), "\n", 2)[0]; first != "T1 edge-a placed predicted=62 target=t-1" {
		t.Fatalf("first line %q", first)
	}
}
