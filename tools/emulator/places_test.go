package emulator

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/serving/process/published"
)

// Requests that reach a target in an evacuated data centre are violations only later than
// EvacuateBound after the key, from a daemon in touch and over an undisturbed link. Guards
// against a check that finds nothing and one that blames daemons which cannot know.
func TestRequestsAtEvacuatedTarget(t *testing.T) {
	cases := []struct {
		name           string
		since          time.Duration
		stable, direct bool
		want           string
	}{
		{"late", EvacuateBound + time.Second, true, true, "request attempt-1 reached target t-1"},
		{"in time", EvacuateBound - time.Second, true, true, ""},
		{"over a disturbed link", EvacuateBound + time.Second, false, true, ""},
		{"from a daemon not in touch", EvacuateBound + time.Second, true, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker(time.Second)
			target := startTarget(t, checker)
			target.EvacuatedSince = func(names.DataCentre) time.Time { return time.Now().Add(-c.since) }
			target.LinkStable = func() bool { return c.stable }
			target.Identify = func(string) Sender { return Sender{Incarnation: "daemon", InTouch: c.direct} }
			newDaemon(t, "127.0.0.1").post(target, nil)
			checkViolations(t, checker, c.want)
		})
	}
}

// An order that renews a reservation of running work may reach an evacuated target, one for a
// new reservation may not.
func TestOrdersAtEvacuatedTarget(t *testing.T) {
	checker := NewChecker(time.Second)
	target := startTarget(t, checker)
	since := time.Time{}
	target.EvacuatedSince = func(names.DataCentre) time.Time { return since }
	daemon := newDaemon(t, "127.0.0.1")
	order := func(id string) {
		r := daemon.request(target, nil)
		r.URL.Path = platform.PathOrder
		body := `{"op":"reserve","id":"` + id + `","hold_ms":1000}`
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		daemon.do(r)
	}
	order("running")
	since = time.Now().Add(-EvacuateBound - time.Second)
	order("running")
	checkViolations(t, checker, "")
	order("new")
	checkViolations(t, checker, "order new attempt-1 reached target t-1")
}

// The time of an evacuation begins with its key and ends with its removal, and with a
// restoration from a copy without the key. Guards against a bound that counts from a key
// that the store has lost.
func TestStoreTellsSinceWhenDataCentreIsEvacuated(t *testing.T) {
	store := NewStore()
	store.Evacuate("dc", "")
	first := store.EvacuatedSince("dc")
	store.Evacuate("dc", "again")
	if first.IsZero() || store.EvacuatedSince("dc") != first || !store.EvacuatedSince("other").IsZero() {
		t.Error("a second key has changed the time of the evacuation")
	}
	if lost := store.Restore(time.Hour); len(lost) != 1 || !store.EvacuatedSince("dc").IsZero() {
		t.Errorf("evacuated after a restoration that has lost %q", lost)
	}
	store.Rewrite(platform.PrefixEvacuations + "dc")
	if store.EvacuatedSince("dc").IsZero() {
		t.Error("not evacuated after the key was written again")
	}
	store.TakeBack("dc")
	if !store.EvacuatedSince("dc").IsZero() {
		t.Error("evacuated after the removal of the key")
	}
}

// Guards against a count that leaves requests out or goes on after the target is warm.
func TestRequestsAtColdTarget(t *testing.T) {
	checker := NewChecker(time.Second)
	target := startTarget(t, checker)
	target.Warmup = Warmup{Time: time.Second, Rate: 2, Overage: 1.5, Slack: 1}
	target.BeginCold(time.Second, 0)
	now := time.Now()
	for i, want := range []int{1, 2, 3, 4, 5, 1, 0} {
		at := now
		switch {
		case want == 1 && i > 0:
			at = now.Add(coldWindow + time.Millisecond)
			target.BeginCold(time.Minute, 0)
		case want == 0:
			at = now.Add(time.Hour)
		default:
		}
		if got, _ := target.countCold(at); got != want {
			t.Errorf("request %d counts as %d, want %d", i, got, want)
		}
	}
	target = startTarget(t, checker)
	target.Warmup = Warmup{Time: time.Minute, Rate: 2, Overage: 1.5, Slack: 1}
	target.BeginCold(time.Minute, 0)
	daemon := newDaemon(t, "127.0.0.1")
	for range target.Warmup.allowed() {
		if answer := daemon.post(target, nil); answer.Get(platform.HeaderCold) == "0" || answer.Get(platform.HeaderCold) == "" {
			t.Errorf("%q ms cold", answer.Get(platform.HeaderCold))
		}
	}
	checkViolations(t, checker, "")
	daemon.post(target, nil)
	checkViolations(t, checker, "got 5 requests")
}

// Well above its rate a cold target crashes.
func TestColdTargetCrashes(t *testing.T) {
	target := startTarget(t, NewChecker(time.Second))
	target.Warmup = Warmup{Time: time.Minute, Rate: 2, Overage: 1.5, Slack: 1}
	target.BeginCold(time.Minute, 0)
	var crashed atomic.Bool
	target.Crashed = func() { crashed.Store(true) }
	daemon := newDaemon(t, "127.0.0.1")
	for range coldCrashFactor * target.Warmup.allowed() {
		daemon.post(target, nil)
	}
	if crashed.Load() {
		t.Fatal("crashed too early")
	}
	if answer, err := daemon.client.Do(daemon.request(target, nil)); err == nil {
		_ = answer.Body.Close()
	}
	if !crashed.Load() {
		t.Error("not crashed")
	}
}

// A request with a list of regions must not reach a target elsewhere, nor have a helper there.
func TestRequestsOutsideTheirRegions(t *testing.T) {
	cases := []struct{ name, allowed, helpers, want string }{
		{"allowed", "west,east", "10.0.0.1:1/id", ""},
		{"no list", "", "10.0.0.1:2", ""},
		{"target elsewhere", "west", "", `reached target t-1 in "east"`},
		{"helper elsewhere", "east", "10.0.0.1:1/id", `has a helper in "west"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker(time.Second)
			target := startTarget(t, checker)
			target.Region = "east"
			target.RegionAt = func(address string) (names.Region, bool) { return "west", address == "10.0.0.1:1" }
			newDaemon(t, "127.0.0.1").post(target, map[string]string{HeaderRegions: c.allowed, platform.HeaderHelpers: c.helpers})
			checkViolations(t, checker, c.want)
		})
	}
}

// The daemon must read the fields that the emulator adds to the encodings.
func TestAddedFieldsAreDecoded(t *testing.T) {
	target := startTarget(t, NewChecker(time.Second)).Target
	target.Service, target.DataCentre, target.ColdLeft = "service", "dc", 1500*time.Millisecond
	text, err := platform.EncodeTarget(&target)
	if err != nil {
		t.Fatal(err)
	}
	_, entry, err := platform.Decoder{}.Decode(&published.Record{Key: platform.PrefixTargets + "t-1", Value: text})
	if err != nil || entry.ColdLeft != target.ColdLeft {
		t.Errorf("entry %+v: %v", entry, err)
	}
	text, err = platform.EncodeConfig(&routing.Config{
		Routes:    []routing.Route{{Name: "route", Hostname: "h", Prefix: "/", Services: []routing.WeightedService{{Service: "service", Weight: 1}}, Regions: []names.Region{"east"}}},
		Services:  []routing.Service{{Name: "service", ColdTime: 1500 * time.Millisecond, ColdRate: 26}},
		Customers: []routing.Customer{{Name: "customer", Regions: []names.Region{"west", "east"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	config, _, err := platform.Decoder{}.Decode(&published.Record{Key: platform.KeyConfig, Value: text})
	if err != nil {
		t.Fatal(err)
	}
	if s := config.Services[0]; s.ColdTime != 1500*time.Millisecond || s.ColdRate != 26 || len(config.Routes[0].Regions) != 1 || len(config.Customers[0].Regions) != 2 {
		t.Errorf("configuration %+v", config)
	}
	text, err = platform.EncodeSettings(&edge.Settings{ColdOverage: 1.5, ColdSlack: 5, MemoryBytes: 96 << 20, Descriptors: 1000})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"cold_overage":1.5`, `"cold_slack":5`, `"memory_mb":96`, `"max_fds":1000`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the settings lack %s", want)
		}
	}
}
