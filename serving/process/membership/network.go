package membership

import (
	"net"
	"net/netip"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
)

// MaxPacketBytes is the maximum size of a received datagram, in bytes.
const MaxPacketBytes = 2048

// Network sends and receives packets. A test may replace it by one that loses or
// delays packets, or cuts links.
type Network interface {
	// Send sends a packet, which may be lost without an error.
	Send(to names.Host, packet []byte) error
	// Receive waits for a packet. The packet is valid until the next call. Once the
	// network is closed, Receive returns an error that wraps net.ErrClosed.
	Receive() ([]byte, error)
	// Close closes the network and makes a pending Receive return.
	Close() error
}

// udp is a Network on one UDP socket.
type udp struct {
	conn   *net.UDPConn
	buffer []byte
}

// ListenUDP returns a Network on a UDP socket that is bound to the host's address.
// Its Receive must be called by one goroutine only.
func ListenUDP(host names.Host) (Network, error) {
	address, err := netip.ParseAddrPort(string(host))
	if err != nil {
		return nil, errors.Wrap(err, "membership: parse host address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "membership: listen")
	}
	return &udp{conn: conn, buffer: make([]byte, MaxPacketBytes)}, nil
}

// Send implements Network.
func (u *udp) Send(to names.Host, packet []byte) error {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return errors.Wrap(err, "membership: parse host address")
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
