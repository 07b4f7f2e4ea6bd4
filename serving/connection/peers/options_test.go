package peers

import (
	"context"
	"net"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/stats"
)

type noStats struct{}

func (noStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (noStats) HandleRPC(context.Context, stats.RPCStats)                         {}
func (noStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (noStats) HandleConn(context.Context, stats.ConnStats)                       {}

// The gRPC library sets the user timeout of a connection to the keep-alive timeout, which
// then decides when unacknowledged data gives up. Guards against a change of either.
func TestUserTimeoutOfConnectionsToPeers(t *testing.T) {
	server := NewServer(nil, noStats{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // returns after Stop
	defer server.Stop()
	opened := make(chan net.Conn, 1)
	pool := NewPool(nil, noStats{}, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err == nil {
			opened <- conn
		}
		return conn, err
	})
	defer pool.Close()
	conn, err := pool.Conn(names.Host(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	conn.Connect()
	raw, err := (<-opened).(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for until := time.Now().Add(2 * time.Second); got == 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		if controlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
	}
	if want := int(KeepaliveTimeout.Milliseconds()); got != want {
		t.Errorf("the user timeout is %d ms, want %d", got, want)
	}
}
