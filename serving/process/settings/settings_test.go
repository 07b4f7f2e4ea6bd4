package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// base is a valid settings file, in which each test case replaces text.
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

// TestParse parses base after the replacements "old => new" of each test case.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		text := base
		for _, line := range strings.Split(d.Input, "\n") {
			old, replacement, ok := strings.Cut(line, " => ")
			if !ok {
				t.Fatalf("%s: expected \"old => new\", found %q", d.Pos, line)
			}
			text = strings.Replace(text, old, replacement, 1)
		}
		if _, err := Parse("file.toml", []byte(text)); err != nil {
			return err.Error()
		}
		return "valid"
	})
}
