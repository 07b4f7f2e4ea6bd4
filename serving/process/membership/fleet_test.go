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

// fakeNetwork is an in-process network. Links can be cut in one direction.
type fakeNetwork struct {
	mu        sync.Mutex
	endpoints map[names.Host]*endpoint
	isCut     func(from, to names.Host) bool
}

// endpoint is the Network of one host.
type endpoint struct {
	network  *fakeNetwork
	host     names.Host
	received chan []byte
	closed   chan struct{}
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{endpoints: map[names.Host]*endpoint{}, isCut: func(names.Host, names.Host) bool { return false }}
}

func (n *fakeNetwork) listen(h names.Host) *endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &endpoint{network: n, host: h, received: make(chan []byte, 256), closed: make(chan struct{})}
	n.endpoints[h] = e
	return e
}

func (n *fakeNetwork) setCut(cut func(from, to names.Host) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = cut
}

func (e *endpoint) Send(to names.Host, packet []byte) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	peer := e.network.endpoints[to]
	if peer == nil || e.network.isCut(e.host, to) {
		return nil
	}
	select {
	case peer.received <- slices.Clone(packet):
	default:
	}
	return nil
}

func (e *endpoint) Receive() ([]byte, error) {
	select {
	case packet := <-e.received:
		return packet, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

func (e *endpoint) Close() error {
	close(e.closed)
	return nil
}

func hostOf(i int) names.Host { return names.Host(fmt.Sprintf("10.0.0.%d:7000", i+1)) }

// fleet is a set of daemons on one network.
type fleet struct {
	t          *testing.T
	network    *fakeNetwork
	daemons    []*Membership
	stopDaemon []func()
	// pauses block a daemon while a channel is set, until the channel is closed.
	pauses []atomic.Pointer[chan struct{}]
	// versionDeliveries receives the host of each daemon to which a version digest
	// was delivered.
	versionDeliveries chan names.Host
}

func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, network: newFakeNetwork(), daemons: make([]*Membership, n), stopDaemon: make([]func(), n), pauses: make([]atomic.Pointer[chan struct{}], n), versionDeliveries: make(chan names.Host, 100)}
	for i := range n {
		f.start(i)
	}
	return f
}

// start starts a daemon, or a new incarnation of a stopped one.
func (f *fleet) start(i int) {
	f.t.Helper()
	sealer, err := NewSealer([][]byte{key(1)})
	if err != nil {
		f.t.Fatal(err)
	}
	m := New(Config{
		Self:    core.Member{Host: hostOf(i), DataCentre: "dc", Incarnation: names.Incarnation(time.Now().UnixNano())},
		Machine: core.DefaultConfig(),
		Network: f.network.listen(hostOf(i)),
		Sealer:  sealer,
		Deliver: func(d core.Deliver) {
			if d.Digest.Kind == gossip.Version {
				f.versionDeliveries <- hostOf(i)
			}
		},
		Log:      zap.NewNop(),
		Registry: metrics.NewRegistry(),
		ObserveBytes: func(int) {
			if wait := f.pauses[i].Load(); wait != nil {
				<-*wait
			}
		},
		ObserveStepTime: func(time.Duration) {},
	})
	seeds := make([]names.Host, 0, len(f.daemons))
	for j := range f.daemons {
		seeds = append(seeds, hostOf(j))
	}
	m.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	f.daemons[i] = m
	f.stopDaemon[i] = func() {
		cancel()
		<-ended
	}
}

func (f *fleet) stop() {
	for _, stop := range f.stopDaemon {
		stop()
	}
}

// wantLive checks that the daemons see this number of live members and trust their
// views.
func (f *fleet) wantLive(live int, daemons ...int) {
	f.t.Helper()
	for _, i := range daemons {
		if got := len(f.daemons[i].Live()); got != live || !f.daemons[i].ViewTrusted() {
			f.t.Errorf("daemon %d sees %d live members, want %d; view trusted %t", i, got, live, f.daemons[i].ViewTrusted())
		}
	}
}

func TestRestartedDaemonRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		defer f.stop()
		if f.daemons[0].ViewTrusted() {
			t.Error("view trusted before any peer answered")
		}
		time.Sleep(20 * time.Second)
		f.wantLive(5, 0, 1, 2, 3, 4)
		f.stopDaemon[4]()
		time.Sleep(20 * time.Second)
		f.wantLive(4, 0, 1, 2, 3)
		f.start(4)
		time.Sleep(10 * time.Second)
		f.wantLive(5, 0, 1, 2, 3, 4)
		f.daemons[0].Publish(core.Digest{Kind: gossip.Version, Key: "root", Sequence: 3})
		time.Sleep(3 * time.Second)
		if got := len(f.versionDeliveries); got != 4 {
			t.Errorf("version digest delivered to %d daemons, want 4", got)
		}
	})
}

func TestAllDaemonsRestartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.stop()
		for i := range f.daemons {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
		f.wantLive(5, 0, 1, 2, 3, 4)
	})
}

func TestDaemonWithoutOutgoingLinksDistrustsItsView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		f.network.setCut(func(from, _ names.Host) bool { return from == hostOf(0) })
		time.Sleep(20 * time.Second)
		f.wantLive(4, 1, 2, 3, 4)
		if f.daemons[0].ViewTrusted() {
			t.Error("daemon whose packets are lost trusts its view")
		}
		f.network.setCut(func(names.Host, names.Host) bool { return false })
		time.Sleep(time.Minute)
		f.wantLive(5, 0, 1, 2, 3, 4)
		gauge, ok := f.daemons[0].config.Registry.Get("membership.machine.refutations").(metrics.Gauge)
		if !ok || gauge.Value() == 0 {
			t.Error("refutation is not counted by the gauge")
		}
	})
}

func TestPausedDaemonDistrustsItsViewUntilPeersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		defer f.stop()
		time.Sleep(10 * time.Second)
		block := make(chan struct{})
		f.pauses[0].Store(&block)
		time.Sleep(30 * time.Second)
		if f.daemons[0].ViewTrusted() {
			t.Error("view trusted during the pause")
		}
		f.wantLive(4, 1, 2, 3, 4)
		f.pauses[0].Store(nil)
		close(block)
		time.Sleep(30 * time.Second)
		f.wantLive(5, 0, 1, 2, 3, 4)
	})
}

func TestInvalidPacketsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		defer f.stop()
		outsider := f.network.listen(hostOf(8))
		sealer, err := NewSealer([][]byte{key(1)})
		if err != nil {
			t.Fatal(err)
		}
		for _, packet := range [][]byte{[]byte("x"), make([]byte, 200), sealer.Seal([]byte{0xff, 0xff})} {
			if err := outsider.Send(hostOf(0), packet); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for name, want := range map[string]int64{CounterNotSealed: 2, CounterGarbled: 1} {
			counter, ok := f.daemons[0].config.Registry.Get(name).(metrics.Counter)
			if !ok || counter.Count() != want {
				t.Errorf("%s: %v, want %d", name, counter, want)
			}
		}
	})
}
