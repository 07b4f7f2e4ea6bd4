package suspects

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestRecordedIncidentEndsAfterFewEnds replays the ends of a recorded incident, in which
// 28 targets ended one after the other in the first wave. All but one of the requests that
// an end cut off are sound and share their first part and their group with the crashing
// one. The output tells which ends would not have come.
func TestRecordedIncidentEndsAfterFewEnds(t *testing.T) {
	datadriven.RunTest(t, "testdata/incident", func(t *testing.T, d *datadriven.TestData) string {
		r := replay{table: New(), out: &strings.Builder{}}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			r.end(t, strings.Fields(line))
		}
		return r.out.String()
	})
}

type replay struct {
	table    *Table
	out      *strings.Builder
	ends     int
	requests int
	// prevented is the number of ends whose crashing request is refused.
	prevented int
}

// end replays an end: its time in seconds, and daemons with their numbers of requests.
func (r *replay) end(t *testing.T, fields []string) {
	t.Helper()
	seconds, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	now := start.Add(time.Duration(seconds * float64(time.Second)))
	if r.ends == 0 {
		sound(r.table, r.request(), now.Add(-time.Second)) // one of each group
		sound(r.table, r.request(), now.Add(-time.Second))
	}
	r.ends++
	_, first := r.table.Check(request("c", 0, "first", "group-0", "group-1"), now)
	if _, refused := r.table.Check(r.request("bad"), now); refused {
		r.prevented++
		fmt.Fprintf(r.out, "%s: prevented, sound requests refused: %t\n", fields[0], first)
		return
	}
	hit := 0
	for _, field := range fields[1:] {
		_, number, _ := strings.Cut(field, "=")
		n, err := strconv.Atoi(number)
		if err != nil {
			t.Fatal(err)
		}
		for range n {
			parts := []string{}
			if hit++; hit == 1 {
				parts = append(parts, "bad")
			}
			cut(r.table, end(r.ends), r.request(parts...), now)
		}
	}
	fmt.Fprintf(r.out, "%s: end %d cuts off %d requests, sound requests refused: %t\n", fields[0], r.ends-r.prevented, hit, first)
}

func (r *replay) request(parts ...string) *Request {
	r.requests++
	return request("c", r.requests, append(parts, "first", fmt.Sprint("group-", r.requests%2))...)
}
