package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// base is a valid file; a test case replaces or adds lines.
const base = `host = "127.0.0.1:7300"
data_centre = "a"
[caller]
listen = "127.0.0.1:7301"
body_timeout = "20s"
cert_file = ""
max_body_bytes = 1000
[admin]
listen = "127.0.0.1:7302"
[peer]
fleet_keys = ["0000000000000000000000000000000000000000000000000000000000000000"]
[platform]
address = "127.0.0.1:7303"
[manifest]
public_key = "0000000000000000000000000000000000000000000000000000000000000000"
[log]
level = "info"
`

// TestRead runs each case's "old => new" replacement on a valid file.
func TestRead(t *testing.T) {
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		text := base
		for _, line := range strings.Split(d.Input, "\n") {
			old, replacement, ok := strings.Cut(line, " => ")
			if !ok {
				t.Fatalf("%s: no replacement in %q", d.Pos, line)
			}
			text = strings.Replace(text, old, replacement, 1)
		}
		if _, err := Read("file.toml", []byte(text)); err != nil {
			return err.Error()
		}
		return "valid"
	})
}
