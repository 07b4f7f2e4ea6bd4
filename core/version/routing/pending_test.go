package routing

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"carobspoke.example/core/names"
	"github.com/cockroachdb/datadriven"
)

// The command "decode" has the version in force as argument in-force. Each line of its input is a
// record: its version, whether the version is known before it is decoded, and its outcome.
func TestRecordsToDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/decode", func(t *testing.T, d *datadriven.TestData) string {
		var inForce uint64
		d.ScanArgs(t, "in-force", &inForce)
		var records, decoded []Published
		for line := range strings.Lines(d.Input) {
			known, after := parsePublished(t, strings.Fields(line))
			records, decoded = append(records, known), append(decoded, after)
		}
		var out strings.Builder
		for i := NextToDecode(records, names.Version(inForce)); i >= 0; i = NextToDecode(records, names.Version(inForce)) {
			if records[i].Outcome != Undecoded {
				d.Fatalf(t, "record %d is decoded twice", i)
			}
			records[i] = decoded[i]
			fmt.Fprintf(&out, "record %d\n", i+1)
		}
		fmt.Fprintf(&out, "in force: %d\n", NewestValid(records, names.Version(inForce)))
		return out.String()
	})
}

// parsePublished returns what is known of a record before and after it is decoded.
func parsePublished(t *testing.T, fields []string) (before, after Published) {
	t.Helper()
	v, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	after.Version = names.Version(v)
	for _, field := range fields[1:] {
		switch field {
		case "known":
			before.Version = after.Version
		case "valid":
			after.Outcome = Valid
		case "unusable":
			after.Outcome = Unusable
		case "in-force":
			before, after.Outcome = Published{Version: after.Version, Outcome: Valid}, Valid
		default:
			t.Fatalf("unknown field %q", field)
		}
	}
	return before, after
}
