package upstream

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a connection to a silent target that is kept for longer than the timeout:
// once it is set, it decides when keep-alive gives up, whatever the number of probes.
func TestConnectionsToTargetsHaveAUserTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := DialTCP(t.Context(), "a", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: int(UserTimeout.Milliseconds()), unix.TCP_KEEPIDLE: int(keepAliveIdle.Seconds()), unix.TCP_KEEPCNT: keepAliveCount,
	} {
		got := 0
		if controlErr := raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		if got != want {
			t.Errorf("option %d is %d, want %d", option, got, want)
		}
	}
}
