package membership

import (
	"math/bits"
	"strings"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// Purpose is the type of a datagram.
type Purpose uint8

const (
	// Ping asks for an Ack.
	Ping Purpose = iota
	// Ack answers a Ping, directly or through the member that sent the Ping
	// for another one.
	Ack
	// PingRequest asks the receiver to ping another member.
	PingRequest
	// Push carries updates or digests that cannot wait for the next probe.
	Push
	// SyncRequest asks for the entries that the sender does not have.
	SyncRequest
	// SyncReply is a page of these entries.
	SyncReply
	// Purposes is the number of purposes.
	Purposes
)

// String returns the purpose's name in metrics.
func (p Purpose) String() string {
	switch p {
	case Ping:
		return "ping"
	case Ack:
		return "ack"
	case PingRequest:
		return "ping_request"
	case Push:
		return "push"
	case SyncRequest:
		return "sync_request"
	case SyncReply:
		return "sync_reply"
	default:
		return "unknown"
	}
}

// Digest is a small piece of information, other than a member update, that
// daemons spread by gossip.
type Digest struct {
	Kind gossip.Kind
	// Key identifies the subject of the digest.
	Key string
	// Sequence increases with each change of the same key.
	Sequence uint64
	Payload  []byte
}

// Bytes returns an upper bound of the digest's encoded size in a datagram.
func (d *Digest) Bytes() int {
	const fixed = 3 + 2 + 2 + 3
	return fixed + len(d.Key) + varintFieldBytes(d.Sequence) + len(d.Payload)
}

// Datagram is one message between two daemons.
type Datagram struct {
	Purpose Purpose
	// From is the sender's own entry.
	From Member
	// To is the receiver's incarnation as the sender knows it; zero if
	// unknown. A receiver of another incarnation drops the datagram.
	To names.Incarnation
	// Sequence matches an Ack or SyncReply with its request.
	Sequence uint64
	// PingHost is the member to ping, in a PingRequest.
	PingHost names.Host
	// TableHash is a hash of the sender's own entry and its active members,
	// and ActiveMembers their number. The receiver compares them with its
	// own view to detect that the views differ.
	TableHash     uint64
	ActiveMembers int
	// KnownFilter is a filter of the sender's entries, in a SyncRequest.
	KnownFilter []byte
	// More is true if a SyncReply had no room for all entries that differ.
	More    bool
	Updates []Update
	Digests []Digest
}

// Sizes of the parts of a datagram, in bytes unless the name says otherwise.
const (
	// packetOverheadBytes is the size of the UDP and IP headers and of the
	// encryption overhead.
	packetOverheadBytes = 28 + 32
	// fixedFieldBytes is the encoded size of the fields of fixed size and of
	// the tags and lengths of the other fields.
	fixedFieldBytes = 2 + 2 + 9 + 2 + 9 + 3 + 2
	// numberTagBytes is the size of a number's tag in the encoding.
	numberTagBytes    = 1
	varintBitsPerByte = 7
)

// varintFieldBytes returns the encoded size of a varint field, with its tag.
func varintFieldBytes(n uint64) int {
	return numberTagBytes + (bits.Len64(n|1)+varintBitsPerByte-1)/varintBitsPerByte
}

// hostBytes returns the size of a packed IP address and port.
func hostBytes(h names.Host) int {
	const version4, version6 = 6, 18
	if strings.HasPrefix(string(h), "[") {
		return version6
	}
	return version4
}

// Bytes returns an upper bound of the datagram's size on the network, with
// headers.
func (d *Datagram) Bytes() int {
	from := Update{Member: d.From}
	size := packetOverheadBytes + fixedFieldBytes + from.Bytes() + len(d.KnownFilter)
	size += varintFieldBytes(d.Sequence) + hostBytes(d.PingHost) + varintFieldBytes(uint64(d.ActiveMembers))
	for i := range d.Updates {
		size += d.Updates[i].Bytes()
	}
	for i := range d.Digests {
		size += d.Digests[i].Bytes()
	}
	return size
}
