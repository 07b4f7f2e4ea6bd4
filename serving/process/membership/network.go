package membership

import (
	"net"
	"net/netip"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// MaxPacketBytes bounds a received datagram.
const MaxPacketBytes = 2048

// Network carries packets. A test may replace it by one that loses, delays or
// cuts.
type Network interface {
	// Send sends a packet; it may be lost without an error.
	Send(to names.Host, packet []byte) error
	// Receive waits for a packet. It fails once the network is closed.
	Receive() ([]byte, error)
	// Close ends Receive.
	Close() error
}

// udp is a Network of one socket.
type udp struct {
	conn   *net.UDPConn
	buffer []byte
}

// ListenUDP opens the socket of a host. Receive is for one goroutine.
func ListenUDP(host names.Host) (Network, error) {
	address, err := netip.ParseAddrPort(string(host))
	if err != nil {
		return nil, errors.Wrap(err, "membership: host")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "membership")
	}
	return &udp{conn: conn, buffer: make([]byte, MaxPacketBytes)}, nil
}

// Send implements Network.
func (u *udp) Send(to names.Host, packet []byte) error {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return errors.Wrap(err, "membership: host")
	}
	_, err = u.conn.WriteToUDPAddrPort(packet, address)
	return errors.WithStack(err)
}

// Receive implements Network. The result is valid until the next call.
func (u *udp) Receive() ([]byte, error) {
	n, _, err := u.conn.ReadFromUDPAddrPort(u.buffer)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return u.buffer[:n], nil
}

// Close implements Network.
func (u *udp) Close() error { return errors.WithStack(u.conn.Close()) }
