package memory

import "time"

// Unread is an answer that is kept until its caller has read it.
type Unread struct {
	// Bytes is what is kept of it, and ReadAt when the caller last read some of it.
	Bytes  int64
	ReadAt time.Time
}

// unreadAfter is the time without progress from which an answer is broken off if another one
// has no room. A caller that reads a chunk of 32 KB in this time keeps its answer.
const unreadAfter = time.Second

// LongestUnread returns the index of the answer that is to be broken off, so that another one
// has room: of those that were not read for unreadAfter, the one that keeps most for longest.
// It returns -1 if there is none.
//
// The load that it handles: callers ask for long answers and do not read them, and the answers
// of others fail although they have run.
func LongestUnread(answers []Unread, now time.Time) int {
	found, highest := -1, 0.0
	for i, answer := range answers {
		quiet := now.Sub(answer.ReadAt)
		if score := float64(answer.Bytes) * quiet.Seconds(); quiet >= unreadAfter && score > highest {
			found, highest = i, score
		}
	}
	return found
}
