package membership

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"carobspoke.example/core/names"
)

// MaxDatagramBytes is the largest datagram that is sent or taken.
const MaxDatagramBytes = 1400

// Network carries datagrams. Send may lose what it is given without an error.
// Receive waits for one, and returns an error for good once the Network is
// closed.
type Network interface {
	Send(to names.Host, datagram []byte) error
	Receive(buffer []byte) (int, error)
	Close() error
}

// UDP is a Network over one socket.
type UDP struct{ conn *net.UDPConn }

// ListenUDP opens a socket at an address, "IP:port".
func ListenUDP(address string) (*UDP, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "membership address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "membership socket")
	}
	return &UDP{conn: conn}, nil
}

// Host returns the socket's own address.
func (u *UDP) Host() names.Host {
	return names.Host(u.conn.LocalAddr().String())
}

// Send implements Network.
func (u *UDP) Send(to names.Host, datagram []byte) error {
	address, err := netip.ParseAddrPort(string(to))
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	_, err = u.conn.WriteToUDPAddrPort(datagram, address)
	return errors.WithStack(err)
}

// Receive implements Network.
func (u *UDP) Receive(buffer []byte) (int, error) {
	n, _, err := u.conn.ReadFromUDPAddrPort(buffer)
	return n, errors.WithStack(err)
}

// Close implements Network.
func (u *UDP) Close() error { return errors.WithStack(u.conn.Close()) }
