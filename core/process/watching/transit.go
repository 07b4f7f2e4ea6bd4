package watching

import "time"

const (
	// maxClockDrift is the largest difference between the rates of two hosts' clocks, as one
	// part in so many.
	maxClockDrift = 5000
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// Transit tells how long messages were held up on their way or before they were read, from the
// times at which they were sent and read by the clocks of two hosts, which show any time.
// The fastest message of a sender counts as not held up. The zero value is ready for use.
// It is not safe for concurrent use.
type Transit[S comparable] struct{ senders map[S]fastest }

// fastest is the message of a sender that was read the least time after it was sent.
type fastest struct{ offset, readAt time.Duration }

// Delay returns how much longer a message of a sender took than the fastest one. Both times
// are those of a clock that also runs while the host is suspended.
func (t *Transit[S]) Delay(from S, sentAt, readAt time.Duration) time.Duration {
	if t.senders == nil || len(t.senders) >= maxSenders {
		t.senders = make(map[S]fastest)
	}
	offset := readAt - sentAt
	known, ok := t.senders[from]
	if expected := known.offset + (readAt-known.readAt)/maxClockDrift; ok && offset > expected {
		return offset - expected
	}
	t.senders[from] = fastest{offset: offset, readAt: readAt}
	return 0
}
