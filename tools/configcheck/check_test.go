package configcheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
)

// valid returns a configuration without a fault.
func valid() *routing.Config {
	priority := 1
	return &routing.Config{
		Version: 7,
		Routes: []routing.Route{
			{
				Name: "chat", Hostname: "h", Prefix: "/chat/", Kind: routing.Streaming, Resumable: true, Timeout: 10 * time.Second, MaxAttempts: 2,
				LatencyTarget: time.Second, GapTarget: time.Second, Services: []routing.WeightedService{{Service: "engines", Weight: 1}}, Regions: []names.Region{"east"},
			},
			{Name: "order", Hostname: "h", Prefix: "/", Kind: routing.NonIdempotent, Timeout: time.Second, MaxAttempts: 1, Services: []routing.WeightedService{{Service: "plain", Weight: 1}}},
		},
		Services: []routing.Service{
			{Name: "engines", ColdTime: time.Second, ColdRate: 26, Engine: &routing.Engine{Slots: 12, MemoryTokens: 1000, ChunkTokens: 100}},
			{Name: "plain"},
		},
		Customers: []routing.Customer{{Name: "a", Keys: []string{"key-a"}, Priority: &priority, Regions: []names.Region{"east", "west"}}, {Name: "b", Keys: []string{"key-b"}}},
		Limits:    routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// Each case changes a valid configuration in one way. Guards against faults that are not
// found, found at another place, or found where there is none.
func TestCheck(t *testing.T) {
	bad := -1
	cases := []struct {
		change func(*routing.Config)
		want   string
	}{
		{func(*routing.Config) {}, ""},
		{func(c *routing.Config) { c.Version = 0 }, "error: version: is missing"},
		{func(c *routing.Config) { c.Routes[1].Prefix = "/x" }, `error: routes[1] "order": prefix: "/x" does not begin and end`},
		{func(c *routing.Config) { c.Routes[1].Prefix = "/chat/" }, `error: routes[1] "order": prefix: never matches, routes[0] "chat"`},
		{func(c *routing.Config) { c.Routes[1].Prefix = "/?x/" }, `error: routes[1] "order": prefix: never matches`},
		{func(c *routing.Config) { c.Routes[1].Hostname = "h:80" }, `error: routes[1] "order": hostname: never matches`},
		{func(c *routing.Config) { c.Routes[1].Hostname = "" }, `error: routes[1] "order": hostname: is missing`},
		{func(c *routing.Config) { c.Routes[1].Name = "chat" }, `warning: routes[1] "chat": name: is that of routes[0]`},
		{func(c *routing.Config) { c.Routes[0].LatencyTarget = time.Minute }, `error: routes[0] "chat": latency target: 1m0s exceeds the time-out of 10s`},
		{func(c *routing.Config) { c.Routes[0].GapTarget = time.Minute }, `error: routes[0] "chat": gap target: 1m0s exceeds`},
		{func(c *routing.Config) { c.Routes[1].Timeout = 0 }, `error: routes[1] "order": time-out: is 0s`},
		{func(c *routing.Config) { c.Routes[1].MaxAttempts = 2 }, `warning: routes[1] "order": most attempts: 2 are allowed`},
		{func(c *routing.Config) { c.Routes[1].MaxAttempts = 0 }, `error: routes[1] "order": most attempts: is 0`},
		{func(c *routing.Config) { c.Routes[1].Resumable = true }, `warning: routes[1] "order": resumable: has no effect`},
		{func(c *routing.Config) { c.Routes[1].Priority = 10 }, `error: routes[1] "order": priority: is 10`},
		{func(c *routing.Config) { c.Services[1].Name = "other" }, `error: routes[1] "order": service: "plain" is not among`},
		{func(c *routing.Config) { c.Routes[1].Services[0].Weight = 0 }, `error: routes[1] "order": service: no service has a weight`},
		{func(c *routing.Config) { c.Services = append(c.Services, routing.Service{Name: "unused"}) }, `warning: services[2] "unused": name: no route`},
		{func(c *routing.Config) { c.Services = append(c.Services, routing.Service{Name: "plain"}) }, `error: services[2] "plain": name: is that of services[1]`},
		{func(c *routing.Config) { c.Services[0].ColdRate = 0 }, `warning: services[0] "engines": cold rate`},
		{func(c *routing.Config) { c.Services[0].Engine.ChunkTokens = 2000 }, `error: services[0] "engines": chunk: of 2000 tokens exceeds`},
		{func(c *routing.Config) { c.Services[0].Engine.MeanPromptTokens = 2000 }, `error: services[0] "engines": usual lengths`},
		{func(c *routing.Config) { c.Services[0].Engine.Slots = 0 }, `error: services[0] "engines": slots`},
		{func(c *routing.Config) { c.Customers[1].Keys = nil }, `warning: tenants[1] "b": keys: there is none`},
		{func(c *routing.Config) { c.Customers[1].Keys = []string{"key-a"} }, `error: tenants[1] "b": keys[0]: is also a key of tenants[0] "a"`},
		{func(c *routing.Config) { c.Customers[1].Keys = []string{"key-b", ""} }, `warning: tenants[1] "b": keys[1]: is empty`},
		{func(c *routing.Config) { c.Customers[1].Priority = &bad }, `error: tenants[1] "b": priority: is -1`},
		{func(c *routing.Config) { c.Customers[1].Regions = []names.Region{"west"} }, `warning: tenants[1] "b": allowed regions: none is among those of routes[0] "chat"`},
		{func(c *routing.Config) { c.Limits.HeaderBytes = 1 << 20 }, `error: limits: header bytes: 1048576 exceed`},
		{func(c *routing.Config) { c.Limits.BodyBytes = 0 }, `warning: limits: body bytes: is missing`},
	}
	for _, c := range cases {
		config := valid()
		c.change(config)
		var lines []string
		for _, finding := range Check(config) {
			lines = append(lines, finding.String())
		}
		got := strings.Join(lines, "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("want %s, got\n%s", c.want, got)
		}
		if strings.Contains(got, "key-") {
			t.Errorf("an API key is shown: %s", got)
		}
	}
}

// Guards against differences that are lost, and against API keys in the output.
func TestCompare(t *testing.T) {
	before, after := valid(), valid()
	if list := Compare(before, after); list != nil {
		t.Errorf("equal configurations differ: %q", list)
	}
	after.Version = 8
	after.Routes[0].Timeout = 20 * time.Second
	after.Routes[1].Name = "new"
	after.Services[0].Engine.Slots = 24
	after.Customers[0].Keys = []string{"key-a", "key-c"}
	after.Customers[0].Priority = nil
	after.Limits.BodyBytes = 1
	want := `version: 7 -> 8
route "chat": Timeout: 10s -> 20s
route "new": added
route "order": removed
service "engines": Engine: Slots: 12 -> 24
tenant "a": Keys: 1 added, 0 removed
tenant "a": Priority: 1 -> none
limits: BodyBytes: 4194304 -> 1`
	if got := strings.Join(Compare(before, after), "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if CheckVersion(before, after) != nil || len(CheckVersion(after, before)) != 1 || len(CheckVersion(after, after)) != 1 {
		t.Error("only a version above the one in force may pass")
	}
}

// The command reads the form in which operators publish, and names the line of what cannot
// be read.
func TestRun(t *testing.T) {
	text, err := platform.EncodeConfig(valid())
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	var out strings.Builder
	good := write("good", string(text))
	if err := run(&out, good, ""); err != nil || !strings.HasSuffix(out.String(), "version 7: no errors, 2 routes, 2 services, 2 tenants\n") {
		t.Errorf("%v: %s", err, out.String())
	}
	out.Reset()
	if err := run(&out, good, good); err == nil || !strings.Contains(out.String(), "error: version: 7 does not follow 7") {
		t.Errorf("%v: %s", err, out.String())
	}
	for text, want := range map[string]string{"{\n  \"version\": 1,\n}": ":3:1", "{\n\"version\": \"x\"}": ":2:14"} {
		if err := run(&out, write("bad", text), ""); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want the place %s", err, want)
		}
	}
}
