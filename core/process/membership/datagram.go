package membership

import (
	"math/bits"
	"strings"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
)

// Purpose says what a datagram is for.
type Purpose uint8

// Purposes of datagrams.
const (
	// Ping asks for an Ack.
	Ping Purpose = iota
	// Ack answers a Ping, directly or through the helper that was asked.
	Ack
	// PingRequest asks the receiver to ping another member.
	PingRequest
	// Push carries digests that cannot wait for the next probe.
	Push
	// SyncRequest asks for the members that the sender does not know.
	SyncRequest
	// SyncReply is a page of these members.
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

// Digest is a small fact that daemons pass on beside member updates.
type Digest struct {
	Kind gossip.Kind
	// Key says what the digest is about.
	Key string
	// Sequence grows with each change of the same key.
	Sequence uint64
	Payload  []byte
}

// Bytes bounds the size of the digest in a datagram.
func (d *Digest) Bytes() int {
	const fixed = 3 + 2 + 2 + 3
	return fixed + len(d.Key) + numberBytes(d.Sequence) + len(d.Payload)
}

// Datagram is one message between two daemons.
type Datagram struct {
	Purpose Purpose
	// From is the sender's own entry.
	From Member
	// To is the incarnation that the sender takes the receiver for; zero if
	// unknown. Another incarnation drops the datagram.
	To names.Incarnation
	// Sequence ties an Ack or SyncReply to what it answers.
	Sequence uint64
	// About is the member to ping, in a PingRequest.
	About names.Host
	// Table is a digest of the sender's counted members and Counted their
	// number, by which the receiver learns that the views differ.
	Table   uint64
	Counted int
	// Known is a filter of the sender's counted members, in a SyncRequest.
	Known []byte
	// More says that a SyncReply had no room for all that differs.
	More    bool
	Updates []Update
	Digests []Digest
}

// Sizes of what every datagram has, in bytes.
const (
	// packetBytes are the headers of UDP and IP, and the seal.
	packetBytes = 28 + 32
	// fieldBytes are the fields of fixed size and the heads of the others.
	fieldBytes = 2 + 2 + 9 + 2 + 9 + 3 + 2
	// numberHead is the size of a number's head in the encoding.
	numberHead  = 1
	bitsPerByte = 7
)

// numberBytes returns the size of a number of variable size.
func numberBytes(n uint64) int {
	return numberHead + (bits.Len64(n|1)+bitsPerByte-1)/bitsPerByte
}

// hostBytes returns the size of a packed IP number and port.
func hostBytes(h names.Host) int {
	const version4, version6 = 6, 18
	if strings.HasPrefix(string(h), "[") {
		return version6
	}
	return version4
}

// Bytes bounds the size of the datagram on the network.
func (d *Datagram) Bytes() int {
	from := Update{Member: d.From}
	size := packetBytes + fieldBytes + from.Bytes() + len(d.Known)
	size += numberBytes(d.Sequence) + hostBytes(d.About) + numberBytes(uint64(d.Counted))
	for i := range d.Updates {
		size += d.Updates[i].Bytes()
	}
	for i := range d.Digests {
		size += d.Digests[i].Bytes()
	}
	return size
}
