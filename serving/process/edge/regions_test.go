package edge

import (
	"net/http"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/process/published"
)

// newRegionsFleet returns a fleet whose target a is in region north and whose target b is in
// region south. Daemon 0 is in the north, daemons 1 and 2 are in the south.
func newRegionsFleet(t *testing.T) *placesFleet {
	t.Helper()
	f := newPlacesFleet(t)
	f.regions = map[names.DataCentre]names.Region{"a": "north", "dc": "north", "b": "south"}
	f.centres = map[int]names.DataCentre{1: "b", 2: "b"}
	return f
}

// allowed lets the routes allow some regions.
func allowed(regions ...names.Region) published.Decoder { return placesDecoder{regions: regions} }

// Guards against targets outside the allowed regions, at daemons in and outside them, and against
// a request that is not refused where none is left.
func TestRequestsReachAllowedRegionsOnly(t *testing.T) {
	f := newRegionsFleet(t)
	daemons := []*Daemon{f.start(t, 0, f.store, allowed("south")), f.start(t, 1, f.store, allowed("south")), f.start(t, 2, f.store, allowed("west"))}
	for _, d := range daemons {
		eventually(t, "two peers and the list", func() bool { return d.follower.View() != nil && d.peerCount() == 2 })
	}
	for _, d := range daemons[:2] {
		for range 30 {
			if got := f.call(t, d); got != "b" {
				t.Fatalf("%s: answered by %s", d.self, got)
			}
		}
	}
	if status, body := get(t, url(daemons[2].Settings.CallerAddress, "/x")); status != http.StatusServiceUnavailable {
		t.Errorf("no target is in the allowed region: status %d, %q", status, body)
	}
	if f.a.requests.Load() != 0 {
		t.Errorf("%d requests left their region", f.a.requests.Load())
	}
}

// A daemon is cut off from targets, and its nearest peer is outside the allowed region. Guards against a request that reaches its target through a
// peer outside the allowed regions, and against one that does not use the peer inside them.
func TestCutOffDaemonUsesPeersInAllowedRegions(t *testing.T) {
	f := newRegionsFleet(t)
	f.cutOff = 2
	f.start(t, 0, f.store, allowed("north"))
	south := f.start(t, 1, f.store, allowed("north"))
	d := f.start(t, 2, f.store, allowed("north"))
	eventually(t, "two peers and the list", func() bool { return d.follower.View() != nil && d.peerCount() == 2 })
	for range 30 {
		if got := f.call(t, d); got != "a" {
			t.Fatalf("answered by %s", got)
		}
	}
	if in, out := f.dials[0].Load(), f.dials[1].Load(); in == 0 || out != 0 {
		t.Errorf("%d connections through the peer in the region, %d through the other one", in, out)
	}
	if got := d.tunnelPeersIn([]names.Region{"south"}); len(got) != 1 || got[0] != south.self {
		t.Errorf("peers in the south: %v", got)
	}
	if got := len(d.tunnelPeers()); got != 2 {
		t.Errorf("%d peers without a restriction", got)
	}
}
