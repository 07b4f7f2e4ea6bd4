package calls

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keys"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/budget"
	"carobspoke.example/serving/request/failure"
	"github.com/cockroachdb/datadriven"
	"google.golang.org/grpc"
)

// TestSends plays callers' sends. The commands: "mint NAME at=HOST", "send
// at=HOST [ticket=NAME] [key=K] [body=B] [customer=C] [service=S]", "service
// ok|not_run|may_have_run", "lose answers=N", "reboot HOST", "cut HOST", "wait MINUTES".
func TestSends(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			p := &player{world: newWorld(t, "h1", "h2", "h3"), tickets: map[string]string{}}
			datadriven.RunTest(t, path, p.step)
		})
	})
}

type player struct {
	*world
	tickets map[string]string
}

func (p *player) step(t *testing.T, d *datadriven.TestData) string {
	var at string
	d.MaybeScanArgs(t, "at", &at)
	switch d.Cmd {
	case "mint":
		p.tickets[d.CmdArgs[0].Key] = p.mint(t, names.Host(at))
	case "service":
		p.fail = nil
		if v := d.CmdArgs[0].Key; v != "ok" {
			p.fail = verdict.New(verdict.Parse(v), verdict.TargetFailed, "")
		}
	case "lose":
		d.ScanArgs(t, "answers", &p.lost)
	case "reboot":
		host := names.Host(d.CmdArgs[0].Key)
		p.boot(t, host, p.servers[host].deps.Self.Incarnation+10)
	case "cut":
		p.cut[names.Host(d.CmdArgs[0].Key)] = true
	case "wait":
		var minutes int
		d.ScanArgs(t, "minutes", &minutes)
		for range minutes * 60 {
			time.Sleep(time.Second)
			for _, server := range p.servers {
				server.Tick()
			}
		}
	case "send":
		return p.play(t, d, names.Host(at))
	}
	return "ok\n"
}

func (p *player) play(t *testing.T, d *datadriven.TestData, at names.Host) string {
	s := sent{customer: "a", service: "file", body: "b"}
	var name string
	d.MaybeScanArgs(t, "ticket", &name)
	d.MaybeScanArgs(t, "key", &s.key)
	d.MaybeScanArgs(t, "body", &s.body)
	d.MaybeScanArgs(t, "customer", &s.customer)
	d.MaybeScanArgs(t, "service", &s.service)
	s.ticket = name
	if minted, ok := p.tickets[name]; ok {
		s.ticket = minted
	}
	body, replayed, err := p.send(t.Context(), at, s)
	if err == nil {
		return fmt.Sprintf("%s, replayed=%t; actions=%d\n", body, replayed, p.acted())
	}
	e := verdict.From(err)
	var offer *failure.Ticketed
	return fmt.Sprintf("%s %s, offers a ticket=%t; actions=%d\n", e.Verdict, e.Reason, errors.As(err, &offer), p.acted())
}

// TestResendWhileRunning sends again, through two daemons, while the first
// send runs and after its caller is gone: the service acts once.
func TestResendWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "h1", "h2")
		w.hold = make(chan struct{})
		s := sent{customer: "a", service: "file", ticket: w.mint(t, "h1"), body: "b"}
		answers := make(chan string, 3)
		for _, host := range []names.Host{"h1", "h2", "h1"} {
			go func() {
				body, replayed, err := w.send(t.Context(), host, s)
				answers <- fmt.Sprint(body, replayed, err)
			}()
			synctest.Wait()
		}
		close(w.hold)
		got := []string{<-answers, <-answers, <-answers}
		text := strings.Join(got, "|")
		if w.acted() != 1 || strings.Count(text, "done 1") != 3 || strings.Count(text, "true") != 2 {
			t.Fatalf("%d actions: %s", w.acted(), text)
		}
	})
}

// TestPauseBeforeWrite pauses the worker between the choice of a replica and
// the write for longer than the ticket lives.
func TestPauseBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, "h1")
		w.pause = keys.DedupWindow
		s := sent{customer: "a", service: "file", ticket: w.mint(t, "h1"), body: "b"}
		_, _, err := w.send(t.Context(), "h1", s)
		if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun || w.acted() != 0 {
			t.Fatalf("%v, %d actions", err, w.acted())
		}
	})
}

// TestPeerThatActsAndDies forwards a call by gRPC to a daemon that runs it and
// dies before it answers: gRPC sends it once, and nothing claims not_run.
func TestPeerThatActsAndDies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &dyingPeer{server: grpc.NewServer()}
	peerpb.RegisterForwardingServer(peer.server, peer)
	go peer.server.Serve(listener) //nolint:errcheck // it ends when the peer dies
	pool := peers.NewPool(nil, budget.CallMeter{Meter: &budget.Meter{}}, nil)
	defer pool.Close()
	client := &GRPCPeers{Conn: pool.Conn}
	host := names.Host(listener.Addr().String())
	for send := range 2 {
		_, err = client.Call(t.Context(), host, &peerpb.CallRequest{Ticket: "t"})
		if e := verdict.From(err); e.Verdict != verdict.MayHaveRun || e.Reason != verdict.PeerUnreachable {
			t.Fatalf("send %d: %v", send, err)
		}
	}
	if n := peer.actions.Load(); n != 1 {
		t.Fatalf("%d actions", n)
	}
}

type dyingPeer struct {
	peerpb.UnimplementedForwardingServer
	server  *grpc.Server
	actions atomic.Int32
}

// Call acts, and closes its connections and its listener.
func (p *dyingPeer) Call(ctx context.Context, _ *peerpb.CallRequest) (*peerpb.CallReply, error) {
	p.actions.Add(1)
	go p.server.Stop()
	<-ctx.Done()
	return nil, ctx.Err()
}
