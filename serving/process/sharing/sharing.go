// Package sharing tells the other daemons what this one has sent to targets,
// by UDP, and takes in what they tell.
//
// Events are gathered for Gather and sent to all peers in one datagram. A lost
// one costs accuracy only, see core/process/inflight.
package sharing

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

// Limits of the datagrams.
const (
	// Gather is how long events wait for others; it adds to the age of what
	// peers know.
	Gather = 15 * time.Millisecond
	// maxPacket bounds a received datagram, in bytes, and fullPacket is the
	// size from which one is sent without waiting. The largest event takes
	// about 500 bytes, a packet of the network 1,400.
	maxPacket  = 2048
	fullPacket = 900
)

// Sink takes in what peers tell.
type Sink interface {
	Begin(d inflight.Dispatch)
	FirstEvent(k inflight.Key)
	End(k inflight.Key)
	// Heard takes in the beat of a daemon that watches what is published.
	Heard(from names.Host, revision uint64, confirmed time.Duration, settled bool)
}

// Config is what a Sharing is made of.
type Config struct {
	Self        names.Host
	Incarnation names.Incarnation
	Conn        *net.UDPConn
	// Peers returns the addresses at which peers listen.
	Peers func() []netip.AddrPort
	Sink  Sink
	Log   *zap.Logger
}

// Sharing is safe for concurrent use.
type Sharing struct {
	config Config
	host   []byte

	mu      sync.Mutex
	pending *peerpb.DispatchBatch
	// bytes is about the size of the pending batch.
	bytes int
	wake  chan struct{}
}

// New returns a Sharing that does nothing until Run.
func New(c Config) *Sharing {
	host, err := netip.ParseAddrPort(string(c.Self))
	if err != nil {
		panic(errors.Wrap(err, "sharing: own host")) // settings are checked
	}
	packed, _ := host.MarshalBinary() // it never fails
	s := &Sharing{config: c, host: packed, wake: make(chan struct{}, 1)}
	s.pending = s.empty()
	return s
}

func (s *Sharing) empty() *peerpb.DispatchBatch {
	return &peerpb.DispatchBatch{Host: s.host, Incarnation: uint64(s.config.Incarnation)}
}

// Begun tells a dispatch.
func (s *Sharing) Begun(d *inflight.Dispatch) {
	begun := &peerpb.DispatchBegun{Number: d.Key.Number, LastsMs: uint32(d.MaxDuration.Milliseconds())}
	for i := range d.Parts {
		p := &d.Parts[i]
		begun.Parts = append(begun.Parts, &peerpb.DispatchPart{
			Target: string(p.Target), PrefillMs: uint32(p.Prefill.Milliseconds()), Tokens: uint32(p.Tokens),
			Writes: p.Decodes, Size: uint32(p.Size), GapMs: uint32(p.GapTarget.Milliseconds()), Deferred: p.Deferred,
		})
	}
	s.add(proto.Size(begun), func(b *peerpb.DispatchBatch) { b.Begun = append(b.Begun, begun) })
}

// FirstEvent tells that a prompt has been read.
func (s *Sharing) FirstEvent(number uint64) {
	s.add(numberBytes, func(b *peerpb.DispatchBatch) { b.Read = append(b.Read, number) })
}

// Ended tells the end of a dispatch.
func (s *Sharing) Ended(number uint64) {
	s.add(numberBytes, func(b *peerpb.DispatchBatch) { b.Ended = append(b.Ended, number) })
}

// Beat tells some peers the newest published revision that this daemon knows,
// how long ago the source confirmed it, and whether the targets that it does not
// list are gone.
func (s *Sharing) Beat(peers []netip.AddrPort, revision uint64, confirmed time.Duration, settled bool) {
	batch := s.empty()
	batch.Revision = revision
	batch.ConfirmedMs = uint32(confirmed.Milliseconds())
	batch.Settled = settled
	s.sendTo(peers, batch)
}

// numberBytes bounds the size of a dispatch's number in a batch.
const numberBytes = 6

func (s *Sharing) add(bytes int, change func(*peerpb.DispatchBatch)) {
	s.mu.Lock()
	change(s.pending)
	first := s.bytes == 0
	s.bytes += bytes
	full := s.bytes >= fullPacket
	var batch *peerpb.DispatchBatch
	if full {
		batch = s.takeLocked()
	}
	s.mu.Unlock()
	if full {
		s.send(batch)
		return
	}
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Sharing) takeLocked() *peerpb.DispatchBatch {
	batch := s.pending
	s.pending = s.empty()
	s.bytes = 0
	return batch
}

func (s *Sharing) flush() {
	s.mu.Lock()
	if s.bytes == 0 {
		s.mu.Unlock()
		return
	}
	batch := s.takeLocked()
	s.mu.Unlock()
	s.send(batch)
}

func (s *Sharing) send(batch *peerpb.DispatchBatch) {
	s.sendTo(s.config.Peers(), batch)
}

func (s *Sharing) sendTo(peers []netip.AddrPort, batch *peerpb.DispatchBatch) {
	packet, err := proto.Marshal(batch)
	if err != nil {
		s.config.Log.Error("a batch of dispatches cannot be encoded", zap.String("error", err.Error()))
		return
	}
	for _, peer := range peers {
		_, _ = s.config.Conn.WriteToUDPAddrPort(packet, peer) // as if it were lost on the way
	}
}

// Run sends and receives until ctx ends. It closes the socket.
func (s *Sharing) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	receiving.Go(s.receive)
	defer receiving.Wait()
	defer func() { _ = s.config.Conn.Close() }() // ends receive
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-s.wake:
		}
		timer := time.NewTimer(Gather)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		s.flush()
	}
}

func (s *Sharing) receive() {
	buffer := make([]byte, maxPacket)
	for {
		n, _, err := s.config.Conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.config.Log.Warn("a datagram cannot be received", zap.String("error", err.Error()))
			time.Sleep(Gather)
			continue
		}
		var batch peerpb.DispatchBatch
		if err := proto.Unmarshal(buffer[:n], &batch); err != nil {
			s.config.Log.Warn("a datagram cannot be read", zap.String("error", err.Error()))
			continue
		}
		s.take(&batch)
	}
}

func (s *Sharing) take(b *peerpb.DispatchBatch) {
	var host netip.AddrPort
	if err := host.UnmarshalBinary(b.GetHost()); err != nil {
		return // not a daemon's
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
		s.config.Sink.Begin(d)
	}
	if b.GetRevision() > 0 {
		s.config.Sink.Heard(key.Host, b.GetRevision(), time.Duration(b.GetConfirmedMs())*time.Millisecond, b.GetSettled())
	}
	for _, number := range b.GetRead() {
		key.Number = number
		s.config.Sink.FirstEvent(key)
	}
	for _, number := range b.GetEnded() {
		key.Number = number
		s.config.Sink.End(key)
	}
}
