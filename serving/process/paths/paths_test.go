package paths

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/reach"
	"carobspoke.example/serving/connection/tunnel"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// way is what happens to the connections of one way to a target.
type way struct {
	after time.Duration
	err   error
}

var hangs = way{after: time.Hour}

// network is a fake network in virtual time.
type network struct {
	peers map[names.Host]way
	order []names.Host

	mu     sync.Mutex
	direct map[names.Target]way
	// dials are the ways that were tried, and open counts the connections.
	dials  []string
	open   int
	cutOff int
}

func (n *network) directWay(id names.Target) way {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.direct[id]
}

// conn is an open connection of the fake network.
type conn struct {
	net.Conn
	network *network
	name    string
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.open--
	return nil
}

func (n *network) dial(ctx context.Context, w way, name string) (net.Conn, error) {
	n.mu.Lock()
	n.dials = append(n.dials, name)
	n.mu.Unlock()
	select {
	case <-time.After(w.after):
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if w.err != nil {
		return nil, errors.WithStack(w.err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open++
	return &conn{network: n, name: name}, nil
}

func (n *network) dialer() *Dialer {
	return New(Config{
		Direct: func(ctx context.Context, id names.Target, _ string) (net.Conn, error) {
			return n.dial(ctx, n.directWay(id), "direct")
		},
		Through: func(ctx context.Context, peer names.Host, _ names.Target, _ string) (net.Conn, error) {
			return n.dial(ctx, n.peers[peer], string(peer))
		},
		Peers:  func() []names.Host { return n.order },
		CutOff: func() { n.cutOff++ }, Count: func(string) {}, Log: zap.NewNop(),
	})
}

var (
	refused   = way{after: time.Millisecond, err: syscall.ECONNREFUSED}
	opens     = way{after: 2 * time.Millisecond}
	isCutOff  = way{after: time.Millisecond, err: &tunnel.Error{Status: peerpb.TunnelDown_STATUS_CUT_OFF}}
	confirms  = way{after: 2 * time.Millisecond, err: &tunnel.Error{Status: peerpb.TunnelDown_STATUS_REFUSED, ReachesTargets: true}}
	cannotSay = way{after: 2 * time.Millisecond, err: &tunnel.Error{Status: peerpb.TunnelDown_STATUS_REFUSED}}
)

// Guards against a caller that waits for a way that the daemon knows to fail, against peers
// that are asked without need, and against a failure that is held against the wrong one.
func TestWaysToATarget(t *testing.T) {
	cases := map[string]struct {
		direct way
		peers  []way
		// through is the way that is used, empty for none.
		through string
		within  time.Duration
		refused bool
	}{
		"direct":                          {opens, []way{opens}, "direct", 2 * time.Millisecond, false},
		"slow, but before a peer":         {way{after: 100 * time.Millisecond}, []way{opens}, "direct", 100 * time.Millisecond, false},
		"hangs":                           {hangs, []way{opens}, "p0", hedgeDelay + 2*time.Millisecond, false},
		"refused":                         {refused, []way{opens}, "p0", 3 * time.Millisecond, false},
		"refused, first peers cut off":    {refused, []way{isCutOff, isCutOff, isCutOff, opens}, "p3", 6 * time.Millisecond, false},
		"hangs, first peer hangs":         {hangs, []way{hangs, opens}, "p1", hedgeDelay + peerDelay + 2*time.Millisecond, false},
		"target down":                     {refused, []way{confirms, opens}, "", 3 * time.Millisecond, true},
		"target down, first cannot say":   {refused, []way{cannotSay, confirms}, "", 5 * time.Millisecond, true},
		"nobody can say":                  {refused, []way{cannotSay, isCutOff}, "", 4 * time.Millisecond, false},
		"no peers":                        {refused, nil, "", time.Millisecond, true},
		"hangs, no peers":                 {hangs, nil, "", upstream.ConnectTimeout, false},
		"all hang":                        {hangs, []way{hangs, hangs}, "", upstream.ConnectTimeout, false},
		"hangs, the peer says it is down": {hangs, []way{confirms, opens}, "", upstream.ConnectTimeout, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{direct: map[names.Target]way{"a": c.direct}, peers: make(map[names.Host]way)}
				for i, w := range c.peers {
					host := names.Host(rune('p')) + names.Host(rune('0'+i))
					n.order, n.peers[host] = append(n.order, host), w
				}
				began := time.Now()
				got, err := n.dialer().Dial(t.Context(), "a", "")
				if took := time.Since(began); took > c.within {
					t.Errorf("took %s, want %s", took, c.within)
				}
				if (c.through != "") != (err == nil) || err == nil && got.(*conn).name != c.through {
					t.Fatalf("%+v, %v; want %q", got, err, c.through)
				}
				if errors.Is(err, syscall.ECONNREFUSED) != c.refused {
					t.Errorf("%v is proof that the target is down: %v", err, !c.refused)
				}
				if err == nil {
					_ = got.Close() // the fake returns no error
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if n.open != 0 {
					t.Errorf("%d connections are left open", n.open)
				}
			})
		})
	}
}

// Two targets are reached through peers alone. The third connection must not try its own way
// first, the end of the cut must be noticed within a second, and the daemon is told once.
func TestCutIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			direct: map[names.Target]way{"a": hangs, "b": hangs, "c": hangs}, peers: map[names.Host]way{"p": opens}, order: []names.Host{"p"},
		}
		d := n.dialer()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Watch(ctx, func() time.Duration { return 0 }, func(int) map[names.Target]string { return nil }, func(names.Target) (string, bool) { return "", true })
		for _, id := range []names.Target{"a", "b"} {
			if _, err := d.Dial(t.Context(), id, ""); err != nil {
				t.Fatal(err)
			}
		}
		if !d.IsCutOff() || n.cutOff != 1 {
			t.Fatalf("cut off %v, told %d times", d.IsCutOff(), n.cutOff)
		}
		n.mu.Lock()
		n.dials = nil
		n.mu.Unlock()
		if _, err := d.Dial(t.Context(), "c", ""); err != nil || !slices.Equal(n.dials, []string{"p"}) {
			t.Fatalf("tried %v, %v", n.dials, err)
		}
		n.mu.Lock()
		n.direct = map[names.Target]way{"a": opens, "b": opens, "c": opens}
		n.mu.Unlock()
		time.Sleep(upstream.ConnectTimeout + 2*reach.ProbeInterval)
		if d.IsCutOff() || d.PeerFirst("c") {
			t.Fatal("the end of the cut was not noticed")
		}
	})
}

// Nothing comes from any target while answers are pending. The check must show the cut
// before the requests time out.
func TestQuietTargetsAreChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			direct: map[names.Target]way{"a": hangs, "b": hangs}, peers: map[names.Host]way{"p": opens}, order: []names.Host{"p"},
		}
		d := n.dialer()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		began := time.Now()
		go d.Watch(ctx, func() time.Duration { return time.Since(began) }, func(int) map[names.Target]string {
			return map[names.Target]string{"a": "", "b": ""}
		}, func(names.Target) (string, bool) { return "", true })
		time.Sleep(reach.QuietTime + 300*time.Millisecond)
		if !d.IsCutOff() {
			t.Fatal("the cut was not noticed")
		}
	})
}

// All of the fleet is cut off. Guards against an error that is held against the target.
func TestNoPathIsNoFailureOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{
			direct: map[names.Target]way{"a": refused, "b": refused}, peers: map[names.Host]way{"p": opens}, order: []names.Host{"p"},
		}
		d := n.dialer()
		for _, id := range []names.Target{"a", "b"} {
			if _, err := d.Dial(t.Context(), id, ""); err != nil {
				t.Fatal(err)
			}
		}
		n.peers["p"] = isCutOff
		if _, err := d.Dial(t.Context(), "a", ""); !errors.Is(err, upstream.ErrNoPath) || errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatal(err)
		}
	})
}
