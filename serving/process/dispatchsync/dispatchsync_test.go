package dispatchsync

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"go.uber.org/zap"
)

// sink records the events in a table and keeps the last heartbeat.
type sink struct {
	mu    sync.Mutex
	table *inflight.Table

	revision  uint64
	confirmed time.Duration
	settled   bool
}

func (s *sink) Begin(d inflight.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Begin(d, time.Now())
}

func (s *sink) FirstEvent(k inflight.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.FirstEvent(k, time.Now())
}

func (s *sink) End(k inflight.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(k, time.Now())
}

func (s *sink) ObserveHeartbeat(_ names.Host, revision uint64, confirmed time.Duration, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.confirmed, s.settled = revision, confirmed, settled
}

func (s *sink) at(id names.Target) inflight.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load(id, time.Now())
}

func start(t *testing.T, self names.Host, peers func() []netip.AddrPort, conn *net.UDPConn) (*Exchange, *sink) {
	t.Helper()
	to := &sink{table: inflight.New()}
	s := New(Config{Self: self, Incarnation: 7, Conn: conn, Peers: peers, Sink: to, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, to
}

func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met within 5 s: %s", what)
		}
	}
}

func TestPeersReceiveDispatchEvents(t *testing.T) {
	a, b := socket(t), socket(t)
	toB := []netip.AddrPort{b.LocalAddr().(*net.UDPAddr).AddrPort()}
	from, _ := start(t, "127.0.0.1:7001", func() []netip.AddrPort { return toB }, a)
	_, learned := start(t, "127.0.0.1:7002", func() []netip.AddrPort { return nil }, b)
	d := &inflight.Dispatch{
		Key: inflight.Key{Host: "127.0.0.1:7001", Incarnation: 7, Number: 3}, MaxDuration: time.Minute,
		Parts: []inflight.Part{
			{Target: "x", Prefill: 40 * time.Second, Tokens: 9, Decodes: true, Size: 100, GapTarget: 200 * time.Millisecond},
			{Target: "y", Prefill: 30 * time.Second},
		},
	}
	from.Begun(d)
	eventually(t, "the dispatch", func() bool { return learned.at("y").Requests == 1 })
	load := learned.at("x")
	if load.Answers != 1 || load.Tokens != 9 || load.SizeByGapClass[0] != 100 || load.Backlog < 39*time.Second {
		t.Fatalf("load %+v", load)
	}
	from.FirstEvent(3)
	eventually(t, "the first event", func() bool { return learned.at("x").Backlog == 0 })
	from.SendHeartbeat(toB, 77, 90*time.Millisecond, true)
	eventually(t, "the heartbeat", func() bool {
		learned.mu.Lock()
		defer learned.mu.Unlock()
		return learned.revision == 77 && learned.confirmed == 90*time.Millisecond && learned.settled
	})
	from.Ended(3)
	eventually(t, "the end", func() bool { return learned.at("x") == inflight.Load{} })
}

// Begins more dispatches at once than fit into a datagram. All must arrive.
func TestBurstIsSplitIntoDatagrams(t *testing.T) {
	a, b := socket(t), socket(t)
	toB := []netip.AddrPort{b.LocalAddr().(*net.UDPAddr).AddrPort()}
	from, _ := start(t, "127.0.0.1:7001", func() []netip.AddrPort { return toB }, a)
	_, learned := start(t, "127.0.0.1:7002", func() []netip.AddrPort { return nil }, b)
	const burst = 60
	for i := range uint64(burst) {
		parts := make([]inflight.Part, 9)
		for p := range parts {
			parts[p] = inflight.Part{Target: "target-0123456789", Prefill: time.Second, Tokens: 400_000}
		}
		from.Begun(&inflight.Dispatch{Key: inflight.Key{Number: i + 1}, MaxDuration: time.Minute, Parts: parts})
	}
	eventually(t, "all of the burst", func() bool { return learned.at("target-0123456789").Requests == burst*9 })
}

func TestInvalidDatagramsAreDropped(t *testing.T) {
	a, b := socket(t), socket(t)
	_, learned := start(t, "127.0.0.1:7002", func() []netip.AddrPort { return nil }, b)
	to := b.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, packet := range []string{"", "\xff\xff\xff", "hello"} {
		if _, err := a.WriteToUDPAddrPort([]byte(packet), to); err != nil {
			t.Fatal(err)
		}
	}
	from, _ := start(t, "127.0.0.1:7001", func() []netip.AddrPort { return []netip.AddrPort{to} }, a)
	from.Begun(&inflight.Dispatch{Key: inflight.Key{Number: 1}, MaxDuration: time.Minute, Parts: []inflight.Part{{Target: "x"}}})
	eventually(t, "the dispatch after the invalid datagrams", func() bool { return learned.at("x").Requests == 1 })
}
