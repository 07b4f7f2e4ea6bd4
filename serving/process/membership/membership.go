// Package membership drives core/process/membership: it carries datagrams
// over UDP, sealed under the fleet's keys, and lets time pass.
//
// One goroutine owns the machine and takes events from a bounded queue. What
// others read, the live members and whether the view can be trusted, is
// published through atomic pointers. A datagram that does not fit the queue
// is dropped and counted, as one lost on the network.
package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/membership"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Bounds of the shell.
const (
	// TickEvery is the time between two ticks of the machine.
	TickEvery = 50 * time.Millisecond
	// queueLength bounds the events that wait for the machine.
	queueLength = 1024
)

// Names of counters.
const (
	CounterSent     = "membership.datagrams_sent"
	CounterReceived = "membership.datagrams_received"
	CounterGarbled  = "membership.dropped_garbled"
	CounterForeign  = "membership.dropped_not_sealed"
	CounterOverflow = "membership.dropped_queue_full"
	CounterUnsent   = "membership.send_failed"
	CounterBytes    = "membership.bytes"
)

// Config holds what a Membership needs.
type Config struct {
	Self    core.Member
	Machine core.Config
	Network Network
	Sealer  *Sealer
	// Deliver is told of other daemons' digests, by one goroutine. It must
	// not block.
	Deliver func(core.Deliver)
	// Changed is told of each member whose entry changed, by one goroutine;
	// nil means nobody. It must not block.
	Changed func(core.Member)
	Log     *zap.Logger
	// Registry takes the counters.
	Registry metrics.Registry
	// Meter is told the bytes of each datagram sent or received, with the
	// headers of UDP and IP.
	Meter func(bytes int)
	// Worked is told how long the machine took for an event.
	Worked func(time.Duration)
}

// Membership is the shell of a machine.
type Membership struct {
	config  Config
	machine *core.Machine
	events  chan core.Event
	live    atomic.Pointer[[]core.Member]
	all     atomic.Pointer[[]core.Member]
	awake   atomic.Bool
	stamp   atomic.Int64
	// exported is when the gauges were last updated.
	exported time.Time
}

// headerBytes are the headers of UDP and IPv4.
const headerBytes = 28

// New returns a Membership that does nothing until Run.
func New(config Config) *Membership {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m := &Membership{
		config:  config,
		machine: core.New(config.Machine, config.Self, random),
		events:  make(chan core.Event, queueLength),
	}
	m.publish(time.Now())
	return m
}

// Live returns the live members, this daemon included unless it drains,
// sorted by host. It must not be changed.
func (m *Membership) Live() []core.Member { return *m.live.Load() }

// Unreachable returns members of other regions that may be serving on the
// other side of a partition.
func (m *Membership) Unreachable() []core.Member { return *m.all.Load() }

// Awake reports whether the view can be trusted: not after a start or a pause
// until peers have answered. A pause is noticed here before the next tick, by
// the time since the last one.
func (m *Membership) Awake() bool {
	since := time.Since(time.Unix(0, m.stamp.Load()))
	return m.awake.Load() && since < m.config.Machine.PauseThreshold
}

// Seeds tells the hosts that the platform lists.
func (m *Membership) Seeds(hosts []names.Host) { m.offer(core.Seeds{Hosts: hosts}) }

// Regions tells in which region each data centre lies.
func (m *Membership) Regions(regions map[names.DataCentre]names.Region) {
	m.offer(core.Regions{Regions: regions})
}

// Publish passes a digest on to the other daemons.
func (m *Membership) Publish(d core.Digest) { m.offer(core.Publish{Digest: d}) }

// Drain announces that this daemon takes no new work.
func (m *Membership) Drain() { m.offer(core.Drain{}) }

// Leave announces that this daemon stops.
func (m *Membership) Leave() { m.offer(core.Leave{}) }

func (m *Membership) offer(e core.Event) {
	select {
	case m.events <- e:
	default:
		m.count(CounterOverflow, 1)
	}
}

// Run works until ctx ends. It closes the network.
func (m *Membership) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		m.receive()
	}()
	m.loop(ctx)
	m.drainQueue()
	_ = m.config.Network.Close() // it is of no use any more
	<-received
}

func (m *Membership) loop(ctx context.Context) {
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-m.events:
			m.step(e)
		case <-ticker.C:
			m.step(core.Tick{})
		}
	}
}

// drainQueue carries out what was asked before the end, such as Leave.
func (m *Membership) drainQueue() {
	for {
		select {
		case e := <-m.events:
			m.step(e)
		default:
			return
		}
	}
}

func (m *Membership) step(e core.Event) {
	now := time.Now()
	for _, action := range m.machine.Step(now, e) {
		m.perform(action)
	}
	m.publish(now)
	m.export(now)
	m.config.Worked(time.Since(now))
}

func (m *Membership) publish(now time.Time) {
	live := m.machine.Live()
	m.live.Store(&live)
	unreachable := m.machine.Unreachable()
	m.all.Store(&unreachable)
	m.awake.Store(m.machine.ViewTrusted(now))
	m.stamp.Store(now.UnixNano())
}

func (m *Membership) perform(action core.Action) {
	switch a := action.(type) {
	case core.Send:
		m.send(a)
	case core.Deliver:
		m.config.Deliver(a)
	case core.MemberChanged:
		m.config.Log.Info("member changed",
			zap.String("member", string(a.Member.Host)),
			zap.String("state", a.Member.State.String()),
			zap.Uint64("incarnation", uint64(a.Member.Incarnation)))
		if m.config.Changed != nil {
			m.config.Changed(a.Member)
		}
	}
}

func (m *Membership) send(a core.Send) {
	plain, err := encode(&a.Datagram)
	if err != nil {
		m.count(CounterUnsent, 1)
		return
	}
	packet := m.config.Sealer.Seal(plain)
	m.measure(len(packet))
	m.count(CounterSent, 1)
	if err := m.config.Network.Send(a.To, packet); err != nil {
		m.count(CounterUnsent, 1)
	}
}

// receive reads packets until the network is closed.
func (m *Membership) receive() {
	for {
		packet, err := m.config.Network.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(TickEvery) // such as a buffer that the kernel lacks
			continue
		}
		m.take(packet)
	}
}

func (m *Membership) take(packet []byte) {
	m.measure(len(packet))
	m.count(CounterReceived, 1)
	plain, err := m.config.Sealer.Open(packet)
	if err != nil {
		m.count(CounterForeign, 1)
		return
	}
	datagram, err := decode(plain)
	if err != nil {
		m.count(CounterGarbled, 1)
		return
	}
	m.offer(core.Receive{Datagram: datagram})
}

func (m *Membership) measure(packet int) {
	m.count(CounterBytes, int64(packet+headerBytes))
	m.config.Meter(packet + headerBytes)
}

func (m *Membership) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.config.Registry).Inc(n)
}
