// Package dispatchsync exchanges dispatch events between daemons by UDP: it sends
// the events of this daemon to its peers and receives theirs. It also sends and
// receives the heartbeats of daemons that watch the published records.
//
// Events are batched for BatchDelay and sent to all peers in one datagram. A
// lost datagram only makes the peers' view of the load less accurate, see
// core/process/inflight.
package dispatchsync

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/serving/peerpb"
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
	// network packet of 1,400 bytes.
	maxPacketBytes  = 2048
	fullPacketBytes = 900
)

// Sink receives the events and heartbeats of peers.
type Sink interface {
	Begin(d inflight.Dispatch)
	FirstEvent(k inflight.Key)
	End(k inflight.Key)
	// ObserveHeartbeat receives the heartbeat of a daemon that watches the
	// published records; see Exchange.SendHeartbeat for the parameters.
	ObserveHeartbeat(from names.Host, revision uint64, confirmed time.Duration, settled bool)
}

// Config holds the settings and dependencies of an Exchange.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Conn        *net.UDPConn
	// Peers returns the addresses to which events are sent.
	Peers func() []netip.AddrPort
	Sink  Sink
	Log   *zap.Logger
}

// Exchange sends the dispatch events of this daemon and receives those of its peers.
// It is safe for concurrent use.
type Exchange struct {
	config Config
	// packedHost is this daemon's address and port in the binary form that each
	// batch contains.
	packedHost []byte

	mu      sync.Mutex
	pending *peerpb.DispatchBatch
	// pendingBytes is the approximate size of the pending batch.
	pendingBytes int
	// wake signals to Run that the pending batch is no longer empty.
	wake chan struct{}
}

// New returns an Exchange. Before Run, it receives nothing and sends only heartbeats
// and full batches. New panics if Config.Self is not an address with a port.
func New(c Config) *Exchange {
	host, err := netip.ParseAddrPort(string(c.Self))
	if err != nil {
		panic(errors.Wrap(err, "dispatchsync: own host")) // the settings were checked
	}
	packed, _ := host.MarshalBinary() // it never returns an error
	e := &Exchange{config: c, packedHost: packed, wake: make(chan struct{}, 1)}
	e.pending = e.newBatch()
	return e
}

// newBatch returns a batch without events.
func (e *Exchange) newBatch() *peerpb.DispatchBatch {
	return &peerpb.DispatchBatch{Host: e.packedHost, Incarnation: uint64(e.config.Incarnation)}
}

// Begun queues the start event of a dispatch.
func (e *Exchange) Begun(d *inflight.Dispatch) {
	begun := &peerpb.DispatchBegun{Number: d.Key.Number, LastsMs: uint32(d.MaxDuration.Milliseconds())}
	for i := range d.Parts {
		p := &d.Parts[i]
		begun.Parts = append(begun.Parts, &peerpb.DispatchPart{
			Target: string(p.Target), PrefillMs: uint32(p.Prefill.Milliseconds()), Tokens: uint32(p.Tokens),
			Writes: p.Decodes, Size: uint32(p.Size), GapMs: uint32(p.GapTarget.Milliseconds()), Deferred: p.Deferred,
		})
	}
	e.addEvent(proto.Size(begun), func(b *peerpb.DispatchBatch) { b.Begun = append(b.Begun, begun) })
}

// FirstEvent queues the event that the prefill of a dispatch is done.
func (e *Exchange) FirstEvent(number uint64) {
	e.addEvent(maxNumberBytes, func(b *peerpb.DispatchBatch) { b.Read = append(b.Read, number) })
}

// Ended queues the end event of a dispatch.
func (e *Exchange) Ended(number uint64) {
	e.addEvent(maxNumberBytes, func(b *peerpb.DispatchBatch) { b.Ended = append(b.Ended, number) })
}

// SendHeartbeat sends a heartbeat to the given peers: the newest published revision
// that this daemon knows, how long ago the source confirmed it, and whether the
// targets that it does not list are gone.
func (e *Exchange) SendHeartbeat(peers []netip.AddrPort, revision uint64, confirmed time.Duration, settled bool) {
	batch := e.newBatch()
	batch.Revision = revision
	batch.ConfirmedMs = uint32(confirmed.Milliseconds())
	batch.Settled = settled
	e.sendTo(peers, batch)
}

// maxNumberBytes is the maximum size of a dispatch's number in a batch.
const maxNumberBytes = 6

// addEvent adds an event of the given size to the pending batch by calling change. It
// sends the batch if it is full, and wakes Run if the event is its first.
func (e *Exchange) addEvent(bytes int, change func(*peerpb.DispatchBatch)) {
	e.mu.Lock()
	change(e.pending)
	first := e.pendingBytes == 0
	e.pendingBytes += bytes
	full := e.pendingBytes >= fullPacketBytes
	var batch *peerpb.DispatchBatch
	if full {
		batch = e.takePendingLocked()
	}
	e.mu.Unlock()
	if full {
		e.send(batch)
		return
	}
	if first {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
}

// takePendingLocked returns the pending batch and replaces it by an empty one. The
// caller must hold e.mu.
func (e *Exchange) takePendingLocked() *peerpb.DispatchBatch {
	batch := e.pending
	e.pending = e.newBatch()
	e.pendingBytes = 0
	return batch
}

// flush sends the pending batch unless it is empty.
func (e *Exchange) flush() {
	e.mu.Lock()
	if e.pendingBytes == 0 {
		e.mu.Unlock()
		return
	}
	batch := e.takePendingLocked()
	e.mu.Unlock()
	e.send(batch)
}

func (e *Exchange) send(batch *peerpb.DispatchBatch) {
	e.sendTo(e.config.Peers(), batch)
}

func (e *Exchange) sendTo(peers []netip.AddrPort, batch *peerpb.DispatchBatch) {
	packet, err := proto.Marshal(batch)
	if err != nil {
		e.config.Log.Error("a batch of dispatches cannot be encoded", zap.String("error", err.Error()))
		return
	}
	for _, peer := range peers {
		_, _ = e.config.Conn.WriteToUDPAddrPort(packet, peer) // a failed send is treated like a lost datagram
	}
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

// handle passes the events and the heartbeat of a received batch to the sink.
func (e *Exchange) handle(b *peerpb.DispatchBatch) {
	var host netip.AddrPort
	if err := host.UnmarshalBinary(b.GetHost()); err != nil {
		return // not sent by a daemon
	}
	key := inflight.Key{Host: names.Host(host.String()), Incarnation: names.Incarnation(b.GetIncarnation())}
	for _, begun := range b.GetBegun() {
		key.Number = begun.GetNumber()
		d := inflight.Dispatch{Key: key, MaxDuration: time.Duration(begun.GetLastsMs()) * time.Millisecond}
		for _, p := range begun.GetParts() {
			d.Parts = append(d.Parts, inflight.Part{
				Target: names.Target(p.GetTarget()), Prefill: time.Duration(p.GetPrefillMs()) * time.Millisecond,
				Tokens: int(p.GetTokens()), Decodes: p.GetWrites(), Size: int(p.GetSize()), GapTarget: time.Duration(p.GetGapMs()) * time.Millisecond, Deferred: p.GetDeferred(),
			})
		}
		e.config.Sink.Begin(d)
	}
	if b.GetRevision() > 0 {
		e.config.Sink.ObserveHeartbeat(key.Host, b.GetRevision(), time.Duration(b.GetConfirmedMs())*time.Millisecond, b.GetSettled())
	}
	for _, number := range b.GetRead() {
		key.Number = number
		e.config.Sink.FirstEvent(key)
	}
	for _, number := range b.GetEnded() {
		key.Number = number
		e.config.Sink.End(key)
	}
}
