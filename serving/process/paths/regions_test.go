package paths

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
)

// The peer p0 is in the allowed region, p1 is not. Guards against a request that leaves its
// regions through a peer, and against a failure that is held against the target because no
// other peer may be asked.
func TestRestrictedConnectionsUseAllowedPeers(t *testing.T) {
	cases := map[string]struct {
		direct  way
		allowed []names.Host
		peer    way
		// first has the daemon find out before that it is cut off.
		first bool
		want  string
	}{
		"direct":                         {opens, nil, opens, false, "direct"},
		"through an allowed peer":        {refused, []names.Host{"p0"}, opens, false, "p0"},
		"no allowed peer":                {refused, nil, opens, false, "unknown"},
		"the allowed peer hangs":         {refused, []names.Host{"p0"}, hangs, false, "unknown"},
		"cut off, no allowed peer":       {refused, nil, opens, true, "no path"},
		"cut off, an allowed peer":       {refused, []names.Host{"p0"}, opens, true, "p0"},
		"cut off, the allowed one is so": {refused, []names.Host{"p0"}, isCutOff, true, "no path"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: map[names.Target]way{"a": c.direct, "b": c.direct, "c": c.direct}, peers: map[names.Host]way{"p1": opens}, order: []names.Host{"p1"}}
				d := n.dialer()
				d.config.PeersIn = func([]names.Region) []names.Host { return c.allowed }
				if c.first {
					for _, id := range []names.Target{"b", "c"} {
						if _, err := d.Dial(t.Context(), id, ""); err != nil {
							t.Fatal(err)
						}
					}
				}
				n.peers["p0"], n.dials = c.peer, nil
				got, err := d.Dial(upstream.WithRegions(t.Context(), []names.Region{"r"}), "a", "")
				way := "unknown"
				switch {
				case err == nil:
					way = got.(*conn).name
				case errors.Is(err, upstream.ErrNoPath):
					way = "no path"
				}
				n.mu.Lock() // a peer that hangs has not ended yet
				defer n.mu.Unlock()
				if way != c.want || slices.Contains(n.dials, "p1") {
					t.Errorf("way %q, want %q, tried %v: %v", way, c.want, n.dials, err)
				}
			})
		})
	}
}

// A target was reached through a peer that the next request must not use. Guards against a
// request that is given up without a try.
func TestDetourWithoutAllowedPeerIsTriedDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{direct: map[names.Target]way{"a": refused}, peers: map[names.Host]way{"p1": opens}, order: []names.Host{"p1"}}
		d := n.dialer()
		if _, err := d.Dial(t.Context(), "a", ""); err != nil || !d.PeerFirst("a") {
			t.Fatal("no detour", err)
		}
		n.direct["a"] = opens
		ctx, cancel := context.WithTimeout(upstream.WithRegions(t.Context(), []names.Region{"r"}), time.Second)
		defer cancel()
		if got, err := d.Dial(ctx, "a", ""); err != nil || got.(*conn).name != "direct" {
			t.Fatalf("%v, tried %v", err, n.dials)
		}
	})
}
