// Package dispatchsync carries the UDP messages between daemons: questions to the
// homes of a group of targets and their answers, the progress of dispatches, the
// outcomes of sends to targets, and the heartbeats of daemons that watch the
// published records.
//
// Progress and outcomes are batched for BatchDelay for each receiver. A lost
// datagram only makes the receiver's view of the load less accurate, see
// core/process/inflight. A question whose answer is lost is put to another home.
package dispatchsync

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/boottime"
	"carobspoke.example/serving/process/published"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Timing and sizes of the datagrams.
const (
	// BatchDelay is how long an event waits for others to be sent with it. It
	// adds to the delay with which peers learn of the event.
	BatchDelay = 15 * time.Millisecond
	// maxPacketBytes is the maximum size of a received datagram, and
	// fullPacketBytes the size from which a batch is sent without delay. The
	// largest event takes about 500 bytes, so that a batch stays within a
	// network packet of 1,400 bytes. An answer with all helpers takes about 700.
	maxPacketBytes  = 2048
	fullPacketBytes = 900
)

// Sink receives the messages of other daemons. Its methods are called one at a time.
type Sink interface {
	// Begin receives a dispatch, or repeats it. idle is how long ago the target
	// sent something for it; negative if it has sent nothing.
	Begin(d inflight.Dispatch, idle time.Duration)
	FirstEvent(k inflight.Key)
	End(k inflight.Key)
	// RecordOutcome receives the outcome of a send to a target.
	RecordOutcome(id names.Target, o Outcome)
	// RecordLeaving receives that a target has stated to a daemon that it is leaving.
	RecordLeaving(i replicas.Incarnation, from names.Host)
	// RecordLimit receives what a target has said to a daemon about the rate that it
	// takes.
	RecordLimit(i replicas.Incarnation, s ratelimits.Statement, from names.Host)
	// RecordUse receives that a request of a daemon reached a limited target which no
	// home had placed there.
	RecordUse(i replicas.Incarnation)
	// Place places a request of another daemon. The dispatch has the key k.
	Place(k inflight.Key, a *Ask) Answer
	// RecordEnd receives the end of a target that cut off requests of another daemon.
	RecordEnd(a *suspects.Accusation)
	// ObserveHeartbeat receives the heartbeat of a daemon that watches the
	// published records.
	ObserveHeartbeat(from names.Host, h published.Heartbeat)
}

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Conn        *net.UDPConn
	// Port is the port at which the daemons receive these messages.
	Port uint16
	Sink Sink
	Log  *zap.Logger
}

// Exchange sends and receives messages. It is safe for concurrent use.
type Exchange struct {
	config Config
	// packedHost is this daemon's address and port in the binary form that each
	// batch contains.
	packedHost []byte

	mu      sync.Mutex
	pending map[names.Host]*pendingBatch
	// asks holds the channels of the questions that wait for an answer, by the
	// number of the dispatch.
	asks map[uint64]chan Answer
	// wake signals to Run that there is a pending batch.
	wake chan struct{}

	// clocks dates the confirmations in heartbeats.
	clocks peerClocks
}

// pendingBatch is a batch that is not sent yet, and its approximate size in bytes.
type pendingBatch struct {
	batch *peerpb.DispatchBatch
	bytes int
}

// New returns an Exchange. Before Run, it receives nothing and sends only heartbeats,
// questions and full batches. New panics if Config.Self is not an address with a port.
func New(c Config) *Exchange {
	host, err := netip.ParseAddrPort(string(c.Self))
	if err != nil {
		panic(errors.Wrap(err, "dispatchsync: own host")) // the settings were checked
	}
	packed, _ := host.MarshalBinary() // it never returns an error
	return &Exchange{
		config: c, packedHost: packed, wake: make(chan struct{}, 1),
		pending: make(map[names.Host]*pendingBatch), asks: make(map[uint64]chan Answer),
	}
}

// newBatch returns an empty batch.
func (e *Exchange) newBatch() *peerpb.DispatchBatch {
	return &peerpb.DispatchBatch{Host: e.packedHost, Incarnation: uint64(e.config.Incarnation)}
}

// Begin queues a dispatch, or its repetition, for the given daemons; see Sink.Begin.
func (e *Exchange) Begin(to []names.Host, d *inflight.Dispatch, idle time.Duration) {
	begun := encodeDispatch(d, idle)
	e.add(to, proto.Size(begun), func(b *peerpb.DispatchBatch) { b.Begun = append(b.Begun, begun) })
}

// FirstEvent queues the event that the prefill of a dispatch is done.
func (e *Exchange) FirstEvent(to []names.Host, number uint64) {
	e.add(to, maxNumberBytes, func(b *peerpb.DispatchBatch) { b.Read = append(b.Read, number) })
}

// End queues the event that a dispatch has ended.
func (e *Exchange) End(to []names.Host, number uint64) {
	e.add(to, maxNumberBytes, func(b *peerpb.DispatchBatch) { b.Ended = append(b.Ended, number) })
}

// RecordEnd queues the end of a target that cut off requests of this daemon.
func (e *Exchange) RecordEnd(to []names.Host, a *suspects.Accusation) {
	end := encodeEnd(a)
	e.add(to, proto.Size(end), func(b *peerpb.DispatchBatch) { b.Ends = append(b.Ends, end) })
}

// RecordOutcome queues the outcome of a send to a target.
func (e *Exchange) RecordOutcome(to []names.Host, id names.Target, o Outcome) {
	outcome := &peerpb.TargetOutcome{Target: string(id), Kind: encodeOutcome(o)}
	e.add(to, proto.Size(outcome), func(b *peerpb.DispatchBatch) { b.Outcomes = append(b.Outcomes, outcome) })
}

// RecordLeaving queues that a target has stated that it is leaving.
func (e *Exchange) RecordLeaving(to []names.Host, i replicas.Incarnation) {
	statement := &peerpb.TargetOutcome{Target: string(i.ID), Kind: peerpb.TargetOutcome_KIND_LEAVING, Started: i.Started}
	e.add(to, proto.Size(statement), func(b *peerpb.DispatchBatch) { b.Outcomes = append(b.Outcomes, statement) })
}

// RecordLimit queues what a target has said about the rate that it takes.
func (e *Exchange) RecordLimit(to []names.Host, i replicas.Incarnation, s ratelimits.Statement) {
	limit := encodeLimit(i, s, time.Now())
	e.add(to, proto.Size(limit), func(b *peerpb.DispatchBatch) { b.Limits = append(b.Limits, limit) })
}

// RecordUse queues that a request reached a limited target which no home had placed there.
func (e *Exchange) RecordUse(to []names.Host, i replicas.Incarnation) {
	use := &peerpb.TargetLimit{Target: string(i.ID), Started: i.Started, Used: 1}
	e.add(to, proto.Size(use), func(b *peerpb.DispatchBatch) { b.Limits = append(b.Limits, use) })
}

// SendHeartbeat sends a heartbeat to the given daemons.
func (e *Exchange) SendHeartbeat(to []names.Host, h published.Heartbeat) {
	batch := e.newBatch()
	batch.Era, batch.Revision = h.Position.Era, h.Position.Revision
	batch.Settled = h.Settled
	batch.ConfigVersion = uint64(h.ConfigVersion)
	batch.SourceLost = h.Lost
	batch.SentMs = uint64(boottime.Now().Milliseconds())
	batch.TellsClock = batch.SentMs > 0
	batch.ConfirmedMs = ageMillis(h.ConfirmedAt, time.Now()) // as of SentMs or later
	for _, host := range to {
		e.send(host, batch)
	}
}

// maxNumberBytes is the maximum size of a dispatch's number in a batch.
const maxNumberBytes = 6

// add adds an event of the given size to the pending batches of the receivers by
// calling change. It sends the batches that are full, and wakes Run if there was no
// pending batch.
func (e *Exchange) add(to []names.Host, bytes int, change func(*peerpb.DispatchBatch)) {
	e.mu.Lock()
	first := len(e.pending) == 0
	full := make(map[names.Host]*peerpb.DispatchBatch)
	for _, host := range to {
		p, ok := e.pending[host]
		if !ok {
			p = &pendingBatch{batch: e.newBatch()}
			e.pending[host] = p
		}
		change(p.batch)
		p.bytes += bytes
		if p.bytes >= fullPacketBytes {
			full[host] = p.batch
			delete(e.pending, host)
		}
	}
	e.mu.Unlock()
	for host, batch := range full {
		e.send(host, batch)
	}
	if first {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
}

// flush sends the pending batches.
func (e *Exchange) flush() {
	e.mu.Lock()
	pending := e.pending
	e.pending = make(map[names.Host]*pendingBatch)
	e.mu.Unlock()
	for host, p := range pending {
		e.send(host, p.batch)
	}
}

// send sends a batch to a daemon. A batch that cannot be sent is treated like a lost
// datagram.
func (e *Exchange) send(to names.Host, batch *peerpb.DispatchBatch) {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		e.config.Log.Error("a batch of dispatches cannot be sent", zap.String("host", string(to)), zap.String("error", err.Error()))
		return
	}
	packet, err := proto.Marshal(batch)
	if err != nil {
		e.config.Log.Error("a batch of dispatches cannot be encoded", zap.String("error", err.Error()))
		return
	}
	_, _ = e.config.Conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(address.Addr(), e.config.Port)) // see above
}

// Run sends and receives events until ctx is done, then sends the pending batch and
// closes the socket.
func (e *Exchange) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	receiving.Go(e.receive)
	defer receiving.Wait()
	defer func() { _ = e.config.Conn.Close() }() // makes receive return
	for {
		select {
		case <-ctx.Done():
			e.flush()
			return
		case <-e.wake:
		}
		timer := time.NewTimer(BatchDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		e.flush()
	}
}

// receive handles datagrams until the socket is closed.
func (e *Exchange) receive() {
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := e.config.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.config.Log.Warn("a datagram cannot be received", zap.String("error", err.Error()))
			time.Sleep(BatchDelay)
			continue
		}
		var batch peerpb.DispatchBatch
		if err := proto.Unmarshal(buffer[:n], &batch); err != nil {
			e.config.Log.Warn("a datagram cannot be read", zap.String("error", err.Error()))
			continue
		}
		e.handle(&batch)
	}
}

// handle passes the contents of a received batch to the sink, answers its questions
// and delivers its answers.
func (e *Exchange) handle(b *peerpb.DispatchBatch) {
	var host netip.AddrPort
	if err := host.UnmarshalBinary(b.GetHost()); err != nil {
		return // not sent by a daemon
	}
	key := inflight.Key{Host: names.Host(host.String()), Incarnation: names.Incarnation(b.GetIncarnation())}
	for _, begun := range b.GetBegun() {
		key.Number = begun.GetNumber()
		d, idle := decodeDispatch(key, begun)
		e.config.Sink.Begin(d, idle)
	}
	if b.GetRevision() > 0 {
		e.receiveHeartbeat(key, b)
	}
	for _, number := range b.GetRead() {
		key.Number = number
		e.config.Sink.FirstEvent(key)
	}
	for _, number := range b.GetEnded() {
		key.Number = number
		e.config.Sink.End(key)
	}
	for _, outcome := range b.GetOutcomes() {
		if outcome.GetKind() == peerpb.TargetOutcome_KIND_LEAVING {
			e.config.Sink.RecordLeaving(replicas.Incarnation{ID: names.Target(outcome.GetTarget()), Started: outcome.GetStarted()}, key.Host)
			continue
		}
		if o, ok := decodeOutcome(outcome.GetKind()); ok {
			e.config.Sink.RecordOutcome(names.Target(outcome.GetTarget()), o)
		}
	}
	e.handleLimits(b.GetLimits(), key.Host)
	for _, end := range b.GetEnds() {
		e.config.Sink.RecordEnd(decodeEnd(end))
	}
	for _, ask := range b.GetAsks() {
		key.Number = ask.GetNumber()
		e.answer(key, ask)
	}
	for _, answer := range b.GetAnswers() {
		e.deliver(answer)
	}
}

// maxUses bounds the requests that one message reports, see RecordUse.
const maxUses = 8

// handleLimits passes what a peer knows of the limits of targets to the sink.
func (e *Exchange) handleLimits(limits []*peerpb.TargetLimit, from names.Host) {
	now := time.Now()
	for _, m := range limits {
		i, s := decodeLimit(m, now)
		if m.GetUsed() == 0 {
			e.config.Sink.RecordLimit(i, s, from)
			continue
		}
		for range min(m.GetUsed(), maxUses) {
			e.config.Sink.RecordUse(i)
		}
	}
}
