package trace

import (
	"strings"
	"testing"
)

// TestSummary reads an answer after one send, an answer after two, a call without a
// prediction, and a line that no daemon logged. Only the first answer has a ratio.
func TestSummary(t *testing.T) {
	const log = `built in 0.0 s
   0.1 host-a {"time":"2026-01-01T00:00:01.1Z","msg":"placed","request":"r1","predicted":100}
   0.2 host-a {"time":"2026-01-01T00:00:01.2Z","msg":"answered","request":"r1","class":"short_prompt","queue":10,"first":160,"sends":1}
   0.3 host-b {"time":"2026-01-01T00:00:01.3Z","msg":"placed","request":"r2","predicted":50}
   1.4 host-b {"time":"2026-01-01T00:00:02.4Z","msg":"placed","request":"r2","predicted":50}
   1.5 host-b {"time":"2026-01-01T00:00:02.5Z","msg":"answered","request":"r2","class":"short_prompt","first":60,"sends":2}
   1.6 host-b {"time":"2026-01-01T00:00:03.6Z","msg":"placed","request":"r3","predicted":0}
   1.7 host-b {"time":"2026-01-01T00:00:04.7Z","msg":"answered","request":"r3","class":"call","first":20,"sends":1}
`
	s := NewSummary()
	if err := s.AddLog(strings.NewReader(log), "file"); err != nil {
		t.Fatal(err)
	}
	if len(s.FirstEventRatios) != 1 || len(s.FirstEventRatios["short_prompt"]) != 1 || s.FirstEventRatios["short_prompt"][0] != 1.5 {
		t.Fatalf("got ratios %v", s.FirstEventRatios)
	}
	if second, lines, _ := s.BusiestSecond(); second != "host-a 2026-01-01T00:00:01" || lines != 2 {
		t.Fatalf("busiest second is %s with %d lines", second, lines)
	}
	var out strings.Builder
	if err := s.Print(&out); err != nil || !strings.Contains(out.String(), "short_prompt              1        1.50  1.50  1.50  1.50") {
		t.Fatalf("got error %v and output\n%s", err, out.String())
	}
}
