package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/membership/memnet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = []byte("0123456789abcdef0123456789abcdef")

func host(i int) names.Host { return names.Host(fmt.Sprintf("10.0.0.%d:7000", i+1)) }

// run starts a daemon's membership; stop ends it.
func run(t *testing.T, network Network, i, of int, o Options) (service *Service, stop func()) {
	t.Helper()
	sealer, err := NewSealer(testKey)
	if err != nil {
		t.Fatal(err)
	}
	o.Config = membership.DefaultConfig()
	o.Self = membership.Member{Host: host(i), DataCentre: "dc", Incarnation: names.Incarnation(time.Now().UnixNano())}
	o.Network = network
	o.Sealer = sealer
	o.Random = rand.New(rand.NewPCG(uint64(i), 7))
	if u, ok := network.(*UDP); ok {
		o.Self.Host = u.Host()
	}
	s, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	seeds := make([]names.Host, of)
	for j := range seeds {
		seeds[j] = host(j)
	}
	s.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run: %v", err)
		}
	}
}

func TestAFleetFormsLosesOneAndIsToldOfVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(1)
		heard := make(chan uint64, 100)
		services := make([]*Service, 0, 5)
		stops := make([]func(), 0, 5)
		for i := range 5 {
			s, stop := run(t, net.Listen(host(i)), i, 5, Options{Deliver: func(d membership.Digest, _ names.Host) { heard <- d.Sequence }})
			services = append(services, s)
			stops = append(stops, stop)
		}
		if services[0].Awake() {
			t.Error("awake before any answer")
		}
		changes, unsubscribe := services[1].Subscribe()
		defer unsubscribe()
		time.Sleep(20 * time.Second)
		for i, s := range services {
			if len(s.Live()) != 5 || !s.Awake() {
				t.Errorf("%d counts %d, awake %t", i, len(s.Live()), s.Awake())
			}
		}
		services[0].Publish(membership.Digest{Kind: gossip.Version, Key: "root", Sequence: 3})
		time.Sleep(3 * time.Second)
		if len(heard) != 4 {
			t.Errorf("%d daemons heard of the version", len(heard))
		}
		drain(changes)
		stops[4]()
		time.Sleep(20 * time.Second)
		if got := len(services[1].Live()); got != 4 {
			t.Errorf("counts %d after a death", got)
		}
		if !drain(changes) {
			t.Error("the subscriber was not told")
		}
		for _, stop := range stops[:4] {
			stop()
		}
	})
}

func drain(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestADaemonThatIsHeardByNobodyIsNotAwake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(2)
		services := make([]*Service, 0, 5)
		for i := range 5 {
			s, stop := run(t, net.Listen(host(i)), i, 5, Options{})
			services = append(services, s)
			defer stop()
		}
		time.Sleep(10 * time.Second)
		net.SetLinks(func(from, _ names.Host) memnet.Link {
			return memnet.Link{Cut: from == host(0), Delay: time.Millisecond, Loss: 0.01}
		})
		time.Sleep(15 * time.Second)
		if services[0].Awake() || !services[1].Awake() {
			t.Errorf("awake: cut off %t, another %t", services[0].Awake(), services[1].Awake())
		}
	})
}

func TestWhatCannotBeTrustedIsDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := memnet.New(3)
		registry := gometrics.NewRegistry()
		_, stop := run(t, net.Listen(host(0)), 0, 1, Options{Metrics: registry})
		defer stop()
		attacker := net.Listen(host(9))
		sealer, _ := NewSealer(testKey)
		other, _ := NewSealer(NewKey())
		wrongFormat, _ := proto.Marshal(&peerpb.GossipDatagram{Format: 99, From: &peerpb.MemberEntry{}})
		for _, datagram := range [][]byte{
			make([]byte, MaxDatagramBytes+1),
			[]byte("garbage"),
			other.seal([]byte("x")),
			sealer.seal([]byte{0xff, 0xff}),
			sealer.seal(wrongFormat),
		} {
			if err := attacker.Send(host(0), datagram); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(time.Second)
		for name, want := range map[string]int64{"oversized": 1, "unsealed": 2, "garbled": 2} {
			counter, ok := registry.Get("membership.dropped." + name).(gometrics.Counter)
			if !ok || counter.Count() != want {
				t.Errorf("%s: %v, want %d", name, counter, want)
			}
		}
	})
}

func TestAKeyIsReplacedWithoutALoss(t *testing.T) {
	old, next := NewKey(), NewKey()
	steps := [][][]byte{{old}, {old, next}, {next, old}, {next}}
	for i := 1; i < len(steps); i++ {
		a, _ := NewSealer(steps[i-1]...)
		b, _ := NewSealer(steps[i]...)
		for _, pair := range [][2]*Sealer{{a, b}, {b, a}} {
			if _, err := pair[1].open(pair[0].seal([]byte("x"))); err != nil {
				t.Errorf("step %d: %v", i, err)
			}
		}
	}
	if _, err := NewSealer([]byte("short")); err == nil {
		t.Error("a short key was taken")
	}
}

func TestSizesThatTheMachineAccountsBoundTheEncoding(t *testing.T) {
	d := membership.Datagram{
		From:     membership.Member{Host: host(1), DataCentre: "bagmati-north-1", Incarnation: 1 << 62, Refutation: 9, Version: 1 << 30},
		To:       1 << 62,
		Sequence: 1 << 48,
		About:    host(2),
		Table:    1 << 63,
		Counted:  830,
		Known:    make([]byte, membership.FilterBytes),
	}
	for i := range 20 {
		m := membership.Member{Host: host(i), DataCentre: "bagmati-north-1", Incarnation: 1 << 62, Refutation: 100, State: membership.Dead, Version: 1 << 30}
		d.Updates = append(d.Updates, membership.Update{Member: m, DeadFor: time.Hour})
	}
	d.Digests = []membership.Digest{{Kind: gossip.Load, Key: "headroom", Sequence: 1 << 40, Payload: make([]byte, 100)}}
	clear, err := encode(&d)
	if err != nil {
		t.Fatal(err)
	}
	sealer, _ := NewSealer(testKey)
	if got := len(sealer.seal(clear)) + headerBytes; got > d.Bytes() {
		t.Fatalf("%d bytes on the network, %d accounted", got, d.Bytes())
	}
	back, err := decode(clear)
	if err != nil || back.Bytes() != d.Bytes() || back.About != d.About || back.Updates[3] != d.Updates[3] {
		t.Fatalf("decoded %+v, %v", back, err)
	}
}

func TestDaemonsTalkOverLoopback(t *testing.T) {
	services := make([]*Service, 0, 3)
	seeds := make([]names.Host, 0, 3)
	for i := range 3 {
		socket, err := ListenUDP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s, stop := run(t, socket, i, 0, Options{})
		defer stop()
		services = append(services, s)
		seeds = append(seeds, s.options.Self.Host)
	}
	for _, s := range services {
		s.SetSeeds(seeds)
	}
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if len(services[0].Live()) == 3 && services[0].Awake() {
			return
		}
	}
	t.Fatalf("counts %d", len(services[0].Live()))
}
