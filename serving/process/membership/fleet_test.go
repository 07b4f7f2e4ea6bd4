package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	core "carobspoke.example/core/process/membership"
)

// memory is a network in this process. Links can be cut in one direction.
type memory struct {
	mu   sync.Mutex
	ends map[names.Host]*end
	cut  func(from, to names.Host) bool
}

// end is one host's Network.
type end struct {
	net  *memory
	host names.Host
	in   chan []byte
	done chan struct{}
}

func newMemory() *memory {
	return &memory{ends: map[names.Host]*end{}, cut: func(names.Host, names.Host) bool { return false }}
}

func (m *memory) listen(h names.Host) *end {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &end{net: m, host: h, in: make(chan []byte, 256), done: make(chan struct{})}
	m.ends[h] = e
	return e
}

func (m *memory) setCut(cut func(from, to names.Host) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

func (e *end) Send(to names.Host, packet []byte) error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	peer := e.net.ends[to]
	if peer == nil || e.net.cut(e.host, to) {
		return nil
	}
	select {
	case peer.in <- slices.Clone(packet):
	default:
	}
	return nil
}

func (e *end) Receive() ([]byte, error) {
	select {
	case packet := <-e.in:
		return packet, nil
	case <-e.done:
		return nil, net.ErrClosed
	}
}

func (e *end) Close() error {
	close(e.done)
	return nil
}

func hostOf(i int) names.Host { return names.Host(fmt.Sprintf("10.0.0.%d:7000", i+1)) }

// fleet is a number of daemons on one network.
type fleet struct {
	t       *testing.T
	net     *memory
	running []*Membership
	stops   []func()
	// pauses stop a daemon in the middle of its work while a channel is set.
	pauses []atomic.Pointer[chan struct{}]
	// versions counts deliveries of a version.
	versions chan names.Host
}

func start(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, net: newMemory(), running: make([]*Membership, n), stops: make([]func(), n), pauses: make([]atomic.Pointer[chan struct{}], n), versions: make(chan names.Host, 100)}
	for i := range n {
		f.start(i)
	}
	return f
}

// start starts a daemon, or replaces the one on its host by a new process.
func (f *fleet) start(i int) {
	f.t.Helper()
	sealer, err := NewSealer([][]byte{key(1)})
	if err != nil {
		f.t.Fatal(err)
	}
	m := New(Config{
		Self:    core.Member{Host: hostOf(i), DataCentre: "dc", Incarnation: names.Incarnation(time.Now().UnixNano())},
		Machine: core.DefaultConfig(),
		Network: f.net.listen(hostOf(i)),
		Sealer:  sealer,
		Deliver: func(d core.Deliver) {
			if d.Digest.Kind == gossip.Version {
				f.versions <- hostOf(i)
			}
		},
		Log:      zap.NewNop(),
		Registry: metrics.NewRegistry(),
		Meter: func(int) {
			if wait := f.pauses[i].Load(); wait != nil {
				<-*wait
			}
		},
		Worked: func(time.Duration) {},
	})
	seeds := make([]names.Host, 0, len(f.running))
	for j := range f.running {
		seeds = append(seeds, hostOf(j))
	}
	m.Seeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	f.running[i] = m
	f.stops[i] = func() {
		cancel()
		<-ended
	}
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
}

// want checks that the daemons count so many members and are awake.
func (f *fleet) want(live int, daemons ...int) {
	f.t.Helper()
	for _, i := range daemons {
		if got := len(f.running[i].Live()); got != live || !f.running[i].Awake() {
			f.t.Errorf("daemon %d counts %d, want %d; awake %t", i, got, live, f.running[i].Awake())
		}
	}
}

func TestADaemonIsKilledAndStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 5)
		defer f.stop()
		if f.running[0].Awake() {
			t.Error("awake before any answer")
		}
		time.Sleep(20 * time.Second)
		f.want(5, 0, 1, 2, 3, 4)
		f.stops[4]()
		time.Sleep(20 * time.Second)
		f.want(4, 0, 1, 2, 3)
		f.start(4)
		time.Sleep(10 * time.Second)
		f.want(5, 0, 1, 2, 3, 4)
		f.running[0].Publish(core.Digest{Kind: gossip.Version, Key: "root", Sequence: 3})
		time.Sleep(3 * time.Second)
		if got := len(f.versions); got != 4 {
			t.Errorf("%d daemons heard of the version", got)
		}
	})
}

func TestAllStartAnewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.stop()
		for i := range f.running {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
		f.want(5, 0, 1, 2, 3, 4)
	})
}

func TestADaemonThatNobodyHearsIsNotAwake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.net.setCut(func(from, _ names.Host) bool { return from == hostOf(0) })
		time.Sleep(20 * time.Second)
		f.want(4, 1, 2, 3, 4)
		if f.running[0].Awake() {
			t.Error("the one that is not heard trusts its view")
		}
		f.net.setCut(func(names.Host, names.Host) bool { return false })
		time.Sleep(time.Minute)
		f.want(5, 0, 1, 2, 3, 4)
		gauge, ok := f.running[0].config.Registry.Get("membership.machine.refutations").(metrics.Gauge)
		if !ok || gauge.Value() == 0 {
			t.Error("the refutation is not shown")
		}
	})
}

func TestAPausedDaemonIsNotAwakeUntilPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		block := make(chan struct{})
		f.pauses[0].Store(&block)
		time.Sleep(30 * time.Second)
		if f.running[0].Awake() {
			t.Error("awake while it stands still")
		}
		f.want(4, 1, 2, 3, 4)
		f.pauses[0].Store(nil)
		close(block)
		time.Sleep(30 * time.Second)
		f.want(5, 0, 1, 2, 3, 4)
	})
}

func TestPacketsFromOutsideAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t, 1)
		defer f.stop()
		stranger := f.net.listen(hostOf(8))
		sealer, err := NewSealer([][]byte{key(1)})
		if err != nil {
			t.Fatal(err)
		}
		for _, packet := range [][]byte{[]byte("x"), make([]byte, 200), sealer.Seal([]byte{0xff, 0xff})} {
			if err := stranger.Send(hostOf(0), packet); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for name, want := range map[string]int64{CounterForeign: 2, CounterGarbled: 1} {
			counter, ok := f.running[0].config.Registry.Get(name).(metrics.Counter)
			if !ok || counter.Count() != want {
				t.Errorf("%s: %v, want %d", name, counter, want)
			}
		}
	})
}
