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

// TestSends sends calls to a fleet and prints the answers. The commands are:
//
//	mint NAME at=HOST: mint a ticket and store it under a name
//	send at=HOST [ticket=NAME] [key=K] [body=B] [customer=C] [service=S]
//	service ok|not_run|may_have_run: set how the service answers later calls
//	drop replies=N: drop the next N replies between daemons
//	restart HOST: replace a daemon by a new incarnation
//	disconnect HOST: make a daemon unreachable for the others
//	wait minutes=N: let time pass
func TestSends(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			p := &scriptRunner{testFleet: newTestFleet(t, "h1", "h2", "h3"), tickets: map[string]string{}}
			datadriven.RunTest(t, path, p.runCommand)
		})
	})
}

type scriptRunner struct {
	*testFleet
	tickets map[string]string
}

func (p *scriptRunner) runCommand(t *testing.T, d *datadriven.TestData) string {
	var at string
	d.MaybeScanArgs(t, "at", &at)
	switch d.Cmd {
	case "mint":
		p.tickets[d.CmdArgs[0].Key] = p.mint(t, names.Host(at))
	case "service":
		p.serviceFailure = nil
		if v := d.CmdArgs[0].Key; v != "ok" {
			p.serviceFailure = verdict.New(verdict.Parse(v), verdict.TargetFailed, "")
		}
	case "drop":
		d.ScanArgs(t, "replies", &p.repliesToDrop)
	case "restart":
		host := names.Host(d.CmdArgs[0].Key)
		p.start(t, host, p.servers[host].deps.Self.Incarnation+10)
	case "disconnect":
		p.unreachable[names.Host(d.CmdArgs[0].Key)] = true
	case "wait":
		var minutes int
		d.ScanArgs(t, "minutes", &minutes)
		for range minutes * 60 {
			time.Sleep(time.Second)
			for _, server := range p.servers {
				server.Heartbeat()
			}
		}
	case "send":
		return p.runSend(t, d, names.Host(at))
	}
	return "ok\n"
}

func (p *scriptRunner) runSend(t *testing.T, d *datadriven.TestData, at names.Host) string {
	args := sendArgs{customer: "a", service: "file", body: "b"}
	var name string
	d.MaybeScanArgs(t, "ticket", &name)
	d.MaybeScanArgs(t, "key", &args.key)
	d.MaybeScanArgs(t, "body", &args.body)
	d.MaybeScanArgs(t, "customer", &args.customer)
	d.MaybeScanArgs(t, "service", &args.service)
	args.ticket = name
	if minted, ok := p.tickets[name]; ok {
		args.ticket = minted
	}
	body, replayed, err := p.send(t.Context(), at, args)
	if err == nil {
		return fmt.Sprintf("%s, replayed=%t; actions=%d\n", body, replayed, p.actionCount())
	}
	e := verdict.From(err)
	var offer *failure.TicketError
	return fmt.Sprintf("%s %s, offers a ticket=%t; actions=%d\n", e.Verdict, e.Reason, errors.As(err, &offer), p.actionCount())
}

// TestResendWhileRunning sends a call three times through two daemons while the
// first send is running. The service must act once, and each send must get its
// answer.
func TestResendWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, "h1", "h2")
		fleet.unblock = make(chan struct{})
		args := sendArgs{customer: "a", service: "file", ticket: fleet.mint(t, "h1"), body: "b"}
		answers := make(chan string, 3)
		for _, host := range []names.Host{"h1", "h2", "h1"} {
			go func() {
				body, replayed, err := fleet.send(t.Context(), host, args)
				answers <- fmt.Sprint(body, replayed, err)
			}()
			synctest.Wait()
		}
		close(fleet.unblock)
		got := []string{<-answers, <-answers, <-answers}
		text := strings.Join(got, "|")
		if fleet.actionCount() != 1 || strings.Count(text, "done 1") != 3 || strings.Count(text, "true") != 2 {
			t.Fatalf("the service acted %d times; answers: %s", fleet.actionCount(), text)
		}
	})
}

// TestPauseBeforeWrite pauses the process between the selection of a replica and
// the write of the request, until the ticket has expired. The call must not run.
func TestPauseBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, "h1")
		fleet.pickDelay = keys.DedupWindow
		args := sendArgs{customer: "a", service: "file", ticket: fleet.mint(t, "h1"), body: "b"}
		_, _, err := fleet.send(t.Context(), "h1", args)
		if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun || fleet.actionCount() != 0 {
			t.Fatalf("error %v; the service acted %d times", err, fleet.actionCount())
		}
	})
}

// TestPeerStopsAfterActing forwards a call by gRPC to a daemon that runs it and
// stops before it answers. gRPC must send the call once, and the verdict must
// not be not_run.
func TestPeerStopsAfterActing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &stoppingPeer{server: grpc.NewServer()}
	peerpb.RegisterForwardingServer(peer.server, peer)
	go peer.server.Serve(listener) //nolint:errcheck // it ends when the peer stops
	pool := peers.NewPool(nil, budget.RPCMeter{Meter: &budget.Meter{}}, nil)
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
		t.Fatalf("the peer acted %d times", n)
	}
}

type stoppingPeer struct {
	peerpb.UnimplementedForwardingServer
	server  *grpc.Server
	actions atomic.Int32
}

// Call counts an action, and then closes the connections and the listener without
// an answer.
func (p *stoppingPeer) Call(ctx context.Context, _ *peerpb.CallRequest) (*peerpb.CallReply, error) {
	p.actions.Add(1)
	go p.server.Stop()
	<-ctx.Done()
	return nil, ctx.Err()
}
