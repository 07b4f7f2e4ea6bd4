package suspects

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
)

// Message is an announcement that is gossiped to all daemons. A daemon that has seen a
// key with a sequence ignores the same and lower ones.
type Message struct {
	Key      string
	Sequence uint64
	Payload  []byte
}

// Kinds of announcements: the first byte of the key. A refusal for all customers has a
// kind of its own, so that one for a single customer does not suppress it.
const (
	suspicionKind      byte = 's'
	refusalKind        byte = 'r'
	generalRefusalKind byte = 'g'
	clearanceKind      byte = 'c'
	// despiteSoundKind is that of a refusal, in addition to one of the others, whose daemon
	// knows that requests with the item were sound of late. Earlier releases do not know it.
	despiteSoundKind byte = 'd'
)

// Lengths in bytes. All numbers are big endian.
const (
	keyBytes      = 1 + 8
	timeBytes     = 4
	customerBytes = 4
	// earlierKeyBytes is the length of the keys of releases that exchange digests of
	// whole requests.
	earlierKeyBytes = 16
	// MaxPayloadBytes is the maximum length of a payload.
	MaxPayloadBytes = timeBytes + MaxCustomers*customerBytes
)

// earlierAnswerTime is the assumed duration of an answer. Earlier releases announce when an
// answer ended, this one when its request was sent.
const earlierAnswerTime = 3 * time.Second

// notice is a decoded announcement. ago is set in a clearance alone: how long ago a
// sound request with the item was sent. The remaining time and the customers are set in the
// others.
type notice struct {
	Refusal
	kind byte
	ago  time.Duration
}

// isRefusal reports whether the notice is about a refusal. One that has no time remaining
// withdraws it.
func (d *notice) isRefusal() bool {
	return d.kind == refusalKind || d.kind == generalRefusalKind || d.kind == despiteSoundKind
}

func encode(d *notice, sequence uint64) Message {
	t := d.Remaining
	if d.kind == clearanceKind {
		t = d.ago
	}
	payload := binary.BigEndian.AppendUint32(nil, uint32(t.Milliseconds()))
	if d.kind == clearanceKind {
		payload = binary.BigEndian.AppendUint32(payload, uint32(t.Milliseconds())) // earlier releases read only the first time
	}
	for _, c := range d.Customers {
		payload = binary.BigEndian.AppendUint32(payload, uint32(c))
	}
	return Message{Key: string(binary.BigEndian.AppendUint64([]byte{d.kind}, uint64(d.Item))), Sequence: sequence, Payload: payload}
}

// decode returns the notice of a message, or nil for a message of an earlier release.
func decode(m *Message) (*notice, error) {
	if len(m.Key) == earlierKeyBytes {
		return nil, nil
	}
	if len(m.Key) != keyBytes || len(m.Payload) < timeBytes || len(m.Payload) > MaxPayloadBytes || len(m.Payload)%customerBytes != 0 {
		return nil, errors.Errorf("suspects: a key of %d and a payload of %d bytes", len(m.Key), len(m.Payload))
	}
	d := &notice{kind: m.Key[0], Refusal: Refusal{Item: Item(binary.BigEndian.Uint64([]byte(m.Key[1:])))}}
	t := time.Duration(binary.BigEndian.Uint32(m.Payload)) * time.Millisecond
	switch d.kind {
	case clearanceKind:
		d.ago = t + earlierAnswerTime
		if len(m.Payload) > timeBytes {
			d.ago = time.Duration(binary.BigEndian.Uint32(m.Payload[timeBytes:])) * time.Millisecond
		}
		return d, nil
	case suspicionKind, refusalKind, generalRefusalKind, despiteSoundKind:
		d.Remaining = t
	default:
		return nil, errors.Errorf("suspects: a message of kind %q", d.kind)
	}
	for rest := m.Payload[timeBytes:]; len(rest) > 0; rest = rest[customerBytes:] {
		d.Customers = append(d.Customers, CustomerHash(binary.BigEndian.Uint32(rest)))
	}
	return d, nil
}
