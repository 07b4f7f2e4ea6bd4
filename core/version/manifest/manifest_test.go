package manifest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// sample is a valid manifest that the test cases edit.
const sample = `
schema = 1
version = 7
[fleet]
expected_daemons = 3
data_centres = [{name = "east", region = "hills"}, {name = "west", region = "hills"}]
[[models]]
name = "draft"
adapters = ["petition"]
versions = [{name = "v1", weight_bytes = 1000}, {name = "v2", weight_bytes = 1000}]
[[services]]
name = "filing"
[[customers]]
name = "sewa"
key_digests = ["0000000000000000000000000000000000000000000000000000000000000001"]
models = ["draft"]
services = ["filing"]
[[targets]]
name = "engine-1"
address = "10.0.0.1:8000"
data_centre = "east"
memory_blocks = 100
block_tokens = 16
want = {model = "draft", version = "v1", adapters = ["petition"], role = "mixed"}
[[targets]]
name = "filing-1"
address = "10.0.0.2:8000"
data_centre = "west"
service = "filing"
[[departures]]
target = "engine-1"
at = 2026-01-31T18:00:00Z
`

// TestManifest runs the cases of testdata. Each line of a case's input replaces
// a text of the sample ("old => new"). The command "edit" prints the problems of
// the result; "diff" prints its changes from the sample.
func TestManifest(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			m, err := Parse([]byte(editSample(t, d.Input)))
			if err != nil {
				return err.Error()
			}
			if d.Cmd == "diff" {
				return describeChanges(mustParse(t, sample), m)
			}
			return describeProblems(m)
		})
	})
}

func editSample(t *testing.T, edits string) string {
	text := sample
	for line := range strings.SplitSeq(edits, "\n") {
		old, replacement, found := strings.Cut(line, " => ")
		if line == "" {
			continue
		}
		if !found || !strings.Contains(text, old) {
			t.Fatalf("edit %q does not apply", line)
		}
		text = strings.Replace(text, old, strings.ReplaceAll(replacement, `\n`, "\n"), 1)
	}
	return text
}

func mustParse(t *testing.T, text string) *Manifest {
	m, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func describeProblems(m *Manifest) string {
	var b strings.Builder
	for _, p := range m.Validate() {
		fmt.Fprintln(&b, p)
	}
	if b.Len() == 0 {
		return "valid"
	}
	return b.String()
}

func describeChanges(old, next *Manifest) string {
	var b strings.Builder
	for _, c := range Diff(old, next) {
		fmt.Fprintln(&b, c.Path+": "+c.Description)
	}
	return b.String()
}

func TestIndexLookups(t *testing.T) {
	m := mustParse(t, sample)
	x := NewIndex(m)
	c, ok := x.CustomerByKey("0000000000000000000000000000000000000000000000000000000000000001")
	if !ok || c.Name != "sewa" || !x.MayUseModel("sewa", "draft") || !x.MayUseService("sewa", "filing") {
		t.Fatalf("customer by key = %v, %v", c, ok)
	}
	if _, ok := x.CustomerByKey(""); ok {
		t.Fatal("an empty key digest matched a customer")
	}
	if x.MayUseModel("sewa", "other") || x.MayUseModel("other", "draft") {
		t.Fatal("access is granted that the manifest does not list")
	}
	if e := x.EnginesOf("draft"); len(e) != 1 || e[0].Name != "engine-1" {
		t.Fatalf("engines = %v", e)
	}
	if s := x.TargetsOf("filing"); len(s) != 1 || s[0].Name != "filing-1" {
		t.Fatalf("replicas = %v", s)
	}
	at, listed := x.Departure("engine-1")
	if !listed || !at.Equal(time.Date(2026, 1, 31, 18, 0, 0, 0, time.UTC)) || x.RegionOf("west") != "hills" {
		t.Fatalf("departure %v %v, region %q", at, listed, x.RegionOf("west"))
	}
}
