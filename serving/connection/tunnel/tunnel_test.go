package tunnel

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

type noStats struct{}

func (noStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (noStats) HandleRPC(context.Context, stats.RPCStats)                         {}
func (noStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (noStats) HandleConn(context.Context, stats.ConnStats)                       {}

// fakeGate admits all, and records what the server tells it.
type fakeGate struct {
	mu          sync.Mutex
	answer      peerpb.TunnelDown_Status
	reaches     bool
	heads       int
	connected   int
	unreachable int
	evacuated   bool
}

func (g *fakeGate) Evacuated(names.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated
}

func (g *fakeGate) Admit(names.Target, string) peerpb.TunnelDown_Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answer == peerpb.TunnelDown_STATUS_UNSPECIFIED {
		return peerpb.TunnelDown_STATUS_OPEN
	}
	return g.answer
}

func (g *fakeGate) ReachesTargets(context.Context, names.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reaches
}

func (g *fakeGate) Connected(names.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connected++
}

func (g *fakeGate) Unreachable(names.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable++
}

func (g *fakeGate) Observe(names.Target, *http.Response, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heads++
}

// farEnd is a daemon that connects peers to targets.
type farEnd struct {
	gate   *fakeGate
	server *Server
	grpc   *grpc.Server
	client *Client
	host   names.Host
}

func newFarEnd(t *testing.T) *farEnd {
	t.Helper()
	f := &farEnd{gate: &fakeGate{}, grpc: peers.NewServer(nil, noStats{})}
	f.server = &Server{Gate: f.gate, Dial: upstream.DialTCP}
	peerpb.RegisterTunnelsServer(f.grpc, f.server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.grpc.Serve(listener) }() // returns after Stop
	t.Cleanup(f.grpc.Stop)
	pool := peers.NewPool(nil, noStats{}, nil)
	t.Cleanup(pool.Close)
	f.client, f.host = &Client{Pool: pool}, names.Host(listener.Addr().String())
	return f
}

// target starts a target whose connections are served by serve, and returns its address.
func target(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (f *farEnd) dial(t *testing.T, address string) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := f.client.Dial(ctx, f.host, "a", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// bodyWithoutLength is an answer that ends with its connection.
const bodyWithoutLength = "HTTP/1.1 200 OK\r\n\r\nfirst part"

// afterRequest reads a request and then calls answer.
func afterRequest(answer func(net.Conn)) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := io.ReadFull(conn, make([]byte, len("request"))); err == nil {
			answer(conn)
		}
	}
}

// An answer without a length ends with its connection. Guards against one that was broken
// off, by its target or by the peer, and looks complete.
func TestOnlyTheTargetsOwnEndIsAnEnd(t *testing.T) {
	cases := map[string]struct {
		then     func(f *farEnd, conn net.Conn)
		complete bool
	}{
		"target closes": {func(*farEnd, net.Conn) {}, true},
		"target resets": {func(_ *farEnd, conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }, false},
		"peer ends":     {func(f *farEnd, _ net.Conn) { f.grpc.Stop() }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFarEnd(t)
			read := make(chan struct{})
			conn := f.dial(t, target(t, afterRequest(func(conn net.Conn) {
				_, _ = io.WriteString(conn, bodyWithoutLength) // the reader shows an error
				<-read
				c.then(f, conn)
			})))
			if _, err := io.WriteString(conn, "request"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, len(bodyWithoutLength))); err != nil {
				t.Fatal(err)
			}
			close(read)
			n, err := conn.Read(make([]byte, 9))
			if complete := errors.Is(err, io.EOF); n != 0 || complete != c.complete {
				t.Fatalf("read %d bytes, %v", n, err)
			}
			f.gate.mu.Lock()
			heads, connected := f.gate.heads, f.gate.connected
			f.gate.mu.Unlock()
			if heads != 1 || connected != 1 {
				t.Errorf("%d heads, %d connections were recorded", heads, connected)
			}
			var network net.Error
			if !c.complete && !errors.As(err, &network) {
				t.Fatalf("%v is no error of a connection", err)
			}
		})
	}
}

// The near end gives up. Guards against a target that goes on working for nobody.
func TestCloseEndsTheTargetsConnection(t *testing.T) {
	f := newFarEnd(t)
	ended := make(chan struct{})
	conn := f.dial(t, target(t, afterRequest(func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1)) // nothing comes but the end
		close(ended)
	})))
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the target reads
	_ = conn.Close()                  // the target's end of the connection shows it
	select {
	case <-ended:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the target's connection is open 0.4 s after the close")
	}
	for until := time.Now().Add(time.Second); f.server.InUse() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection still counts")
		}
	}
}

// The data centre of the target is evacuated after the connection was opened. Guards against a
// request that the peer writes there although it knows better than the near end, which may have
// been paused, and against the end of a request whose first bytes were written before.
func TestNoRequestBeginsInEvacuatedDataCentre(t *testing.T) {
	evacuate := func(f *farEnd) {
		f.gate.mu.Lock()
		defer f.gate.mu.Unlock()
		f.gate.evacuated = true
	}
	f := newFarEnd(t)
	read := make(chan int, 1)
	conn := f.dial(t, target(t, func(conn net.Conn) {
		n, _ := conn.Read(make([]byte, 9))
		_ = conn.Close() // an end in order
		read <- n
	}))
	evacuate(f)
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 9)); n > 0 || err == nil || errors.Is(err, io.EOF) {
		t.Errorf("the near end reads %d bytes, %v", n, err)
	}
	if n := <-read; n > 0 {
		t.Errorf("%d bytes reached the target", n)
	}
	f = newFarEnd(t)
	conn = f.dial(t, target(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) }))
	for _, part := range []string{"first", "other"} {
		if _, err := io.WriteString(conn, part); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(part))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != part {
			t.Fatalf("%q, %v", got, err)
		}
		evacuate(f)
	}
}

// A body of 3 MB passes both ways, in order.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	f := newFarEnd(t)
	conn := f.dial(t, target(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) }))
	sent := bytes.Repeat([]byte("0123456789abcdefghijklmnopqrstuvwxyz\n"), 80_000)
	go func() { _, _ = conn.Write(sent) }() // the read shows an error
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, sent) {
		t.Fatal("the bytes differ")
	}
}

// Guards against a refusal that is taken for a target that is down, or the reverse.
func TestRefusalsOfPeers(t *testing.T) {
	closed := target(t, func(net.Conn) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := listener.Addr().String()
	_ = listener.Close() // nobody listens there
	cases := map[string]struct {
		answer        peerpb.TunnelDown_Status
		reaches       bool
		address       string
		want          peerpb.TunnelDown_Status
		down, refused bool
	}{
		"cut off":                     {peerpb.TunnelDown_STATUS_CUT_OFF, false, closed, peerpb.TunnelDown_STATUS_CUT_OFF, false, false},
		"busy":                        {peerpb.TunnelDown_STATUS_BUSY, true, closed, peerpb.TunnelDown_STATUS_BUSY, false, false},
		"target down":                 {peerpb.TunnelDown_STATUS_OPEN, true, gone, peerpb.TunnelDown_STATUS_REFUSED, true, true},
		"peer that cannot tell":       {peerpb.TunnelDown_STATUS_OPEN, false, gone, peerpb.TunnelDown_STATUS_REFUSED, false, true},
		"target that takes no more":   {peerpb.TunnelDown_STATUS_UNWANTED, true, closed, peerpb.TunnelDown_STATUS_UNWANTED, false, false},
		"target that is not listed":   {peerpb.TunnelDown_STATUS_UNKNOWN_TARGET, true, closed, peerpb.TunnelDown_STATUS_UNKNOWN_TARGET, false, false},
		"peer of a later release":     {peerpb.TunnelDown_Status(99), true, closed, peerpb.TunnelDown_Status(99), false, false},
		"target that does not answer": {peerpb.TunnelDown_STATUS_OPEN, true, "192.0.2.1:9", peerpb.TunnelDown_STATUS_UNREACHABLE, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFarEnd(t)
			f.gate.answer, f.gate.reaches = c.answer, c.reaches
			if strings.HasPrefix(c.address, "192.") { // no test connects to an address elsewhere
				f.server.Dial = func(ctx context.Context, _ names.Target, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, errors.WithStack(ctx.Err())
				}
			}
			_, err := f.client.Dial(t.Context(), f.host, "a", c.address)
			var refused *Error
			if !errors.As(err, &refused) || refused.Status != c.want || refused.TargetDown() != c.down || errors.Is(err, syscall.ECONNREFUSED) != c.refused {
				t.Fatalf("%v, want %s, target down %v", err, c.want, c.down)
			}
			if got := f.gate.unreachable == 1; got != c.down {
				t.Errorf("recorded as unreachable: %v", got)
			}
		})
	}
}

// Guards against a daemon that runs out of memory or descriptors for others.
func TestConnectionsForPeersAreBounded(t *testing.T) {
	f := newFarEnd(t)
	f.server.open.Store(MaxOpen)
	_, err := f.client.Dial(t.Context(), f.host, "a", target(t, func(net.Conn) {}))
	var refused *Error
	if !errors.As(err, &refused) || refused.Status != peerpb.TunnelDown_STATUS_BUSY {
		t.Fatal(err)
	}
}

// The caller's time ends while the peer connects.
func TestDialEndsWithItsContext(t *testing.T) {
	f := newFarEnd(t)
	ended := make(chan struct{})
	f.server.Dial = func(ctx context.Context, _ names.Target, _ string) (net.Conn, error) {
		<-ctx.Done()
		close(ended)
		return nil, errors.WithStack(ctx.Err())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := f.client.Dial(ctx, f.host, "a", "127.0.0.1:1"); err == nil {
		t.Fatal("no error")
	}
	select {
	case <-ended:
	case <-time.After(300 * time.Millisecond):
		t.Fatal("the peer goes on to connect")
	}
}

// The target takes the peer for the sender. Guards against statements that the peer does not
// hear.
func TestHeadOfTheAnswerIsObserved(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n"
	for name, c := range map[string]struct {
		pieces []string
		want   int
	}{
		"one piece":     {[]string{"HTTP/1.1 503 X\r\nServer-Note: 1\r\n\r\nbody"}, http.StatusServiceUnavailable},
		"many pieces":   {strings.Split("HTTP/1.1 200 OK\r\nServer-Note: 1\r\n\r\nHTTP/1.1 500 X\r\n\r\n", ""), http.StatusOK},
		"after interim": {[]string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nServer-Note: 2\r\n\r\nHTTP/1.1 404 X\r\nServer-Note: 1\r\n\r\n"}, http.StatusNotFound},
		"other version": {[]string{"HTTP/9.9 200 OK\r\nServer-Note: 1\r\n\r\n"}, 0},
		"no status":     {[]string{"HTTP/1.1 000 X\r\nServer-Note: 1\r\n\r\nHTTP/1.1 200 OK\r\nServer-Note: 1\r\n\r\n"}, 0},
		"no answer":     {[]string{"nonsense\r\n\r\n"}, 0},
		"endless head":  {[]string{long[:maxHeadBytes], long[maxHeadBytes:]}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			h := headReader{found: func(r *http.Response, _ time.Time) {
				got = append(got, fmt.Sprint(r.StatusCode, r.Header.Get("Server-Note")))
			}}
			for _, piece := range c.pieces {
				h.add([]byte(piece))
			}
			want := fmt.Sprint(c.want, "1")
			if c.want == 0 && len(got) != 0 || c.want != 0 && (len(got) != 1 || got[0] != want) {
				t.Fatalf("heads %q", got)
			}
		})
	}
}

// A target answers before it has read a long body, without a length, and the connection ends
// while the body is still written. The kernel reports a reset once; if the write gets it, the
// read gets the end of the connection. Guards against a part of an answer that looks whole,
// and against a whole one that does not.
func TestResetWhileBodyIsWrittenIsNoEnd(t *testing.T) {
	const runs = 8            // the read may get the error first
	const bodyBytes = 4 << 20 // above what the sockets buffer
	const readTime, pause = 20 * time.Millisecond, 20 * time.Millisecond
	cases := map[string]struct {
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset":                   {func(*net.TCPConn) { time.Sleep(readTime) }, false},
		"end, then reset":         {func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
		"end, then reset later":   {func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(pause) }, true},
		"end, nothing is read on": {func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(10 * pause) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range runs {
				f := newFarEnd(t)
				conn := f.dial(t, target(t, afterRequest(func(conn net.Conn) {
					_, _ = io.WriteString(conn, bodyWithoutLength) // the reader shows an error
					c.end(conn.(*net.TCPConn))
					_ = conn.(*net.TCPConn).SetLinger(0)
				})))
				go func() { _, _ = conn.Write(append([]byte("request"), make([]byte, bodyBytes)...)) }() // fails once the connection ends
				answer, err := io.ReadAll(conn)
				if complete := err == nil; complete != c.complete || complete && string(answer) != bodyWithoutLength {
					t.Fatalf("%q, %v", answer, err)
				}
			}
		})
	}
}
