// Package membership runs the state machine of core/process/membership. It sends
// and receives the machine's datagrams over UDP, encrypted under the fleet's keys,
// and passes clock ticks to the machine.
//
// One goroutine owns the machine and processes events from a bounded queue. The
// state that other goroutines read, the live and unreachable members and whether
// the view can be trusted, is published through atomic values. A datagram that
// arrives while the queue is full is dropped and counted; the protocol treats it
// as lost on the network.
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

const (
	// TickEvery is the interval between two ticks of the machine.
	TickEvery = 50 * time.Millisecond
	// queueLength bounds the queue of events for the machine.
	queueLength = 1024
)

// Names of counters.
const (
	CounterSent       = "membership.datagrams_sent"
	CounterReceived   = "membership.datagrams_received"
	CounterGarbled    = "membership.dropped_garbled"
	CounterNotSealed  = "membership.dropped_not_sealed"
	CounterQueueFull  = "membership.dropped_queue_full"
	CounterSendFailed = "membership.send_failed"
	CounterBytes      = "membership.bytes"
)

// Config holds what a Membership needs.
type Config struct {
	Self    core.Member
	Machine core.Config
	Network Network
	Sealer  *Sealer
	// Deliver is called with each digest from another daemon, always by the same
	// goroutine. It must not block.
	Deliver func(core.Deliver)
	// MemberChanged, if not nil, is called with each member whose entry changed,
	// always by the same goroutine. It must not block.
	MemberChanged func(core.Member)
	Log           *zap.Logger
	// Registry holds the counters and gauges.
	Registry metrics.Registry
	// ObserveBytes is called with the size of each datagram sent or received,
	// including the UDP and IP headers.
	ObserveBytes func(bytes int)
	// ObserveStepTime is called with the duration of the processing of each event.
	ObserveStepTime func(time.Duration)
}

// Membership runs a membership machine. Its methods are safe for concurrent use.
type Membership struct {
	config      Config
	machine     *core.Machine
	events      chan core.Event
	live        atomic.Pointer[[]core.Member]
	unreachable atomic.Pointer[[]core.Member]
	viewTrusted atomic.Bool
	// lastStep is the time of the machine's last step, in Unix nanoseconds.
	lastStep atomic.Int64
	// lastExport is the time of the last update of the gauges.
	lastExport time.Time
}

// headerBytes is the size of the UDP and IPv4 headers of a datagram.
const headerBytes = 28

// New returns a Membership. Events are queued until Run processes them.
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

// Live returns the live members sorted by host, including this daemon unless it
// drains. The result must not be modified.
func (m *Membership) Live() []core.Member { return *m.live.Load() }

// Unreachable returns the members of other regions that may still be serving on
// the other side of a network partition.
func (m *Membership) Unreachable() []core.Member { return *m.unreachable.Load() }

// ViewTrusted reports whether the view can be trusted. After a start or a pause of
// the process it cannot, until peers have answered. The time since the last step
// reveals a pause before the machine detects it at the next tick.
func (m *Membership) ViewTrusted() bool {
	since := time.Since(time.Unix(0, m.lastStep.Load()))
	return m.viewTrusted.Load() && since < m.config.Machine.PauseThreshold
}

// SetSeeds passes the hosts that the platform lists to the machine.
func (m *Membership) SetSeeds(hosts []names.Host) { m.enqueue(core.Seeds{Hosts: hosts}) }

// SetRegions passes the region of each data centre to the machine.
func (m *Membership) SetRegions(regions map[names.DataCentre]names.Region) {
	m.enqueue(core.Regions{Regions: regions})
}

// Publish gossips a digest to the other daemons.
func (m *Membership) Publish(d core.Digest) { m.enqueue(core.Publish{Digest: d}) }

// Drain announces that this daemon accepts no new work.
func (m *Membership) Drain() { m.enqueue(core.Drain{}) }

// Leave announces that this daemon stops.
func (m *Membership) Leave() { m.enqueue(core.Leave{}) }

// enqueue adds an event to the queue. If the queue is full, it drops and counts
// the event.
func (m *Membership) enqueue(e core.Event) {
	select {
	case m.events <- e:
	default:
		m.count(CounterQueueFull, 1)
	}
}

// Run processes datagrams and events until ctx ends. Then it processes the events
// that are still queued and closes the network.
func (m *Membership) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		m.receive()
	}()
	m.loop(ctx)
	m.processQueued()
	_ = m.config.Network.Close() // an error has no consequence: the network is not used any more
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

// processQueued processes the events that were queued before the end, such as
// Leave.
func (m *Membership) processQueued() {
	for {
		select {
		case e := <-m.events:
			m.step(e)
		default:
			return
		}
	}
}

// step passes an event to the machine, performs the resulting actions and
// publishes the new state.
func (m *Membership) step(e core.Event) {
	now := time.Now()
	for _, action := range m.machine.Step(now, e) {
		m.perform(action)
	}
	m.publish(now)
	m.exportGauges(now)
	m.config.ObserveStepTime(time.Since(now))
}

func (m *Membership) publish(now time.Time) {
	live := m.machine.Live()
	m.live.Store(&live)
	unreachable := m.machine.Unreachable()
	m.unreachable.Store(&unreachable)
	m.viewTrusted.Store(m.machine.ViewTrusted(now))
	m.lastStep.Store(now.UnixNano())
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
		if m.config.MemberChanged != nil {
			m.config.MemberChanged(a.Member)
		}
	}
}

func (m *Membership) send(a core.Send) {
	plain, err := encode(&a.Datagram)
	if err != nil {
		m.count(CounterSendFailed, 1)
		return
	}
	packet := m.config.Sealer.Seal(plain)
	m.countBytes(len(packet))
	m.count(CounterSent, 1)
	if err := m.config.Network.Send(a.To, packet); err != nil {
		m.count(CounterSendFailed, 1)
	}
}

// receive handles packets until the network is closed.
func (m *Membership) receive() {
	for {
		packet, err := m.config.Network.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(TickEvery) // backoff after a transient error, such as a lack of kernel buffers
			continue
		}
		m.handlePacket(packet)
	}
}

// handlePacket decrypts and decodes a packet and queues it for the machine.
func (m *Membership) handlePacket(packet []byte) {
	m.countBytes(len(packet))
	m.count(CounterReceived, 1)
	plain, err := m.config.Sealer.Open(packet)
	if err != nil {
		m.count(CounterNotSealed, 1)
		return
	}
	datagram, err := decode(plain)
	if err != nil {
		m.count(CounterGarbled, 1)
		return
	}
	m.enqueue(core.Receive{Datagram: datagram})
}

// countBytes counts the bytes of a packet of the given length, including headers.
func (m *Membership) countBytes(length int) {
	m.count(CounterBytes, int64(length+headerBytes))
	m.config.ObserveBytes(length + headerBytes)
}

func (m *Membership) count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.config.Registry).Inc(n)
}
