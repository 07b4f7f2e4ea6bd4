package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"carobspoke.example/tools/load/measure"
)

func newResult(t *testing.T, label string, unit time.Duration) *measure.Result {
	t.Helper()
	recorder := measure.NewRecorder()
	for i := range 100 {
		recorder.Add(measure.Sample{
			At: time.Duration(i) * 50 * time.Millisecond, Class: "short", Complete: i > 0, Code: "overloaded",
			FirstToken: time.Duration(i+1) * unit, Total: time.Duration(i+1) * 2 * unit,
		})
	}
	r := &measure.Result{Label: label}
	if err := recorder.Fill(r); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestCompareDividesSecondByFirst(t *testing.T) {
	var out bytes.Buffer
	if err := Compare(&out, newResult(t, "before", 10*time.Millisecond), newResult(t, "after", 5*time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for _, l := range strings.Split(out.String(), "\n") {
		if strings.Contains(l, "first token p95 ms") && !strings.HasSuffix(strings.TrimSpace(l), "0.5") {
			t.Fatalf("row %q does not end with the ratio 0.5", l)
		}
	}
}

func TestHTMLIsSelfContained(t *testing.T) {
	var out bytes.Buffer
	if err := HTML(&out, []*measure.Result{newResult(t, "a", time.Millisecond), newResult(t, "b", time.Millisecond)}); err != nil {
		t.Fatal(err)
	}
	page := out.String()
	if strings.Count(page, "<svg") != 3 {
		t.Fatalf("page has %d figures, want 3", strings.Count(page, "<svg"))
	}
	for _, reference := range []string{"src=", "href=", "url(", "@import", "<script"} {
		if strings.Contains(page, reference) {
			t.Errorf("the page contains %q", reference)
		}
	}
}
