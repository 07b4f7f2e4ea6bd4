package watching

import "time"

// Transit tells how long messages were held up on their way or before they were read, from the
// times at which they were sent and read by the clocks of two hosts, which show any time.
// The fastest message of a sender counts as not held up. The zero value is ready for use.
// It is not safe for concurrent use.
type Transit[S comparable] struct{ senders map[S]fastest }

// Delay returns how much longer a message of a sender took than the fastest one. Both times
// are those of a clock that also runs while the host is suspended.
func (t *Transit[S]) Delay(from S, sentAt, readAt time.Duration) time.Duration {
	if t.senders == nil || len(t.senders) >= maxSenders {
		t.senders = make(map[S]fastest)
	}
	known, ok := t.senders[from]
	if delay := known.delay(sentAt, readAt); ok && delay > 0 {
		return delay
	}
	t.senders[from] = fastest{offset: readAt - sentAt, readAt: readAt}
	return 0
}
