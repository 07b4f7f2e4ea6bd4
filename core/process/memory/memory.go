// Package memory accounts for the memory that callers make a process use, and decides
// whose input is given up when it runs short.
//
// The load that it handles: many callers at once send large bodies, most of which stop
// before their end, or heads of very many lines, or hold connections open. Without a bound
// on their sum a small host runs out of memory, although each request is legal.
//
// The package is pure: times are arguments, and it does no I/O. An Account is not safe for
// concurrent use.
package memory

import "time"

// ID identifies a connection within an Account.
type ID uint64

// Class is what bytes are used for.
type Class uint8

// Classes of bytes. The bytes of a body count as large once the input of its request
// exceeds SmallBytes.
const (
	Connections Class = iota
	Heads
	SmallBodies
	LargeBodies
	Answers
	classCount
)

// Classes returns all classes.
func Classes() []Class { return []Class{Connections, Heads, SmallBodies, LargeBodies, Answers} }

// String returns the name of the class for metrics.
func (c Class) String() string {
	return [...]string{"connection", "head", "small_body", "large_body", "answer"}[c]
}

// Group is a listener. Each group has its own bound on connections.
type Group uint8

// Groups of connections.
const (
	Callers Group = iota
	Readiness
	Metrics
	Peers
	groupCount
)

// String returns the name of the group for logs.
func (g Group) String() string { return [...]string{"callers", "readiness", "metrics", "peers"}[g] }

const (
	// SmallBytes is the largest input of a small request. It covers a body of 120 KB, the
	// smaller buffer that such a body is copied from, and its head.
	SmallBytes = 256 << 10
	// stalledAfter is the time without progress from which input is given up to admit
	// another connection, or in advance. A caller that sends at all makes progress in
	// every round trip.
	stalledAfter = time.Second
	// quietAfter is the time without a byte from which a connection of a peer is given up
	// to admit another one. A connection in use answers a probe every 10 s, and is
	// closed 3 s later if it does not.
	quietAfter = 15 * time.Second
	// progressBytes is what a connection must receive to count as making progress. Bytes
	// sent one by one would otherwise keep a large body in memory at little cost.
	progressBytes = 4 << 10
	// minStall is added to the time without progress, so that the size alone decides among
	// callers that all make progress.
	minStall = 100 * time.Millisecond
	// marginShare is the part of the limit that is freed beyond what is needed, from
	// stalled input only. It bounds how often candidates have to be sorted.
	marginShare = 32
	// releaseShare is the part of a limit by which connections that are being closed may
	// exceed it, in bytes and in number, for connections and small requests. Large ones are
	// refused while the bytes of connections that are being closed exceed the limit.
	releaseShare = 4
)

// Config are the bounds of an Account, in bytes.
type Config struct {
	// Limit bounds all bytes together.
	Limit int64
	// Large bounds the input of requests that exceed SmallBytes. What is left of Limit
	// is reserved for small requests.
	Large int64
	// Answers bounds the answers that are read before they are passed on.
	Answers int64
}

// Shares of a host's memory.
const (
	// limitPercent leaves room for the process itself, and for a heap that grows beyond
	// the bytes in use until the garbage collector runs.
	limitPercent = 33
	// runtimePercent is the soft limit of the Go runtime. The rest is left to the program
	// text and to the buffers of sockets.
	runtimePercent = 60
	// maxAnswerBytes is enough for three answers of the largest size.
	maxAnswerBytes = 24 << 20
)

// ForHost returns the bounds for a host with this many bytes of memory.
func ForHost(bytes int64) Config {
	limit := bytes / 100 * limitPercent
	return Config{Limit: limit, Large: limit / 2, Answers: min(maxAnswerBytes, limit/8*3)}
}

// RuntimeLimit returns the soft memory limit of the Go runtime in bytes for a host with
// this many bytes of memory.
func RuntimeLimit(bytes int64) int64 { return bytes / 100 * runtimePercent }

// Costs of a head once it is parsed, and while it is copied for a target.
const (
	// lineCost is the cost of a line in bytes: its entry in the table of names, which is
	// kept twice, its list of values, and the strings of a short name. Lines of five
	// bytes with different names took 30 times their size.
	lineCost = 400
	// byteCost is how often the bytes of a line are kept: as read, as parsed, and as
	// written to the target.
	byteCost = 3
)

// HeadCost returns the bytes to account for a head of this many bytes and lines.
func HeadCost(bytes, lines int) int64 { return byteCost*int64(bytes) + lineCost*int64(lines) }

// Decision is the result of a request for memory or for a connection.
type Decision struct {
	// Granted reports whether the bytes were added to the account.
	Granted bool
	// Evicted are the connections whose input is given up. The caller of the Account must
	// end them; nothing of their requests was sent.
	Evicted []ID
}
