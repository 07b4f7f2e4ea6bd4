package published

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"google.golang.org/grpc/stats"
)

// partlySilentPeers answers the reads of one peer at once, and no others.
type partlySilentPeers struct {
	answers names.Host
	read    chan struct{}
}

func (p *partlySilentPeers) Read(ctx context.Context, from names.Host, _ replicas.Position) (Batch, error) {
	if from == p.answers {
		close(p.read)
		return Batch{Position: at(1), ConfirmedAt: time.Now()}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(peerReadTimeout):
	}
	return Batch{}, context.DeadlineExceeded
}

// Guards against a sender whose heartbeats arrive although it answers no reads, and which keeps
// this daemon from reading the clocks of all others: their heartbeats then confirm nothing, and
// the daemon calls the source.
func TestPeerThatAnswersNoReadsDelaysNoOther(t *testing.T) {
	const heartbeats = 20 // of the silent peer while its reads time out
	p := &partlySilentPeers{answers: "relay", read: make(chan struct{})}
	f := newFollower(newSource(), p, false)
	f.applyBatch(Batch{Position: at(1), Complete: true, Records: []Record{{Key: "config", Value: []byte("v"), Revision: 1}}}, FromPeer)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.readClocks(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	unknown := Heartbeat{Position: at(1), ClockUnknown: true, MustRead: true}
	for range heartbeats {
		f.ObserveHeartbeat("silent", unknown)
	}
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	limit := time.After(2 * peerReadTimeout)
	for {
		f.ObserveHeartbeat("relay", unknown)
		select {
		case <-p.read:
			return
		case <-limit:
			t.Fatalf("the clock of the other peer is not read within %s, %d reads wait", 2*peerReadTimeout, len(f.clockReads.due))
		case <-tick.C:
		}
	}
}

type noStats struct{}

func (noStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (noStats) HandleRPC(context.Context, stats.RPCStats)                         {}
func (noStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (noStats) HandleConn(context.Context, stats.ConnStats)                       {}

// Reads for the clock and for the changes go to the same peer at the same time, and tunnels to
// targets share their connection. Guards against a read that is late at a slow peer and breaks
// the other calls off.
func TestLateReadBreaksOffNoOtherCall(t *testing.T) {
	const (
		apart  = 500 * time.Millisecond
		answer = 700 * time.Millisecond // after the second call, within peerReadTimeout of it
	)
	var calls atomic.Int32
	ends := make(chan struct{})
	server := peers.NewServer(nil, noStats{})
	peerpb.RegisterPublicationsServer(server, &Server{Records: func(replicas.Position) Batch {
		if calls.Add(1) == 1 {
			<-ends
			return Batch{}
		}
		time.Sleep(answer)
		return Batch{Position: at(2)}
	}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	pool := peers.NewPool(nil, noStats{}, nil)
	client := &Client{Pool: pool}
	host := names.Host(listener.Addr().String())
	defer func() {
		close(ends)
		pool.Close()
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}()
	late := make(chan error, 1)
	go func() {
		_, err := client.Read(t.Context(), host, at(1))
		late <- err
	}()
	time.Sleep(apart)
	if _, err := client.Read(t.Context(), host, at(1)); err != nil {
		t.Errorf("a read that is answered within its time: %v", err)
	}
	if err := <-late; err == nil {
		t.Error("the read that is not answered succeeds")
	}
}
