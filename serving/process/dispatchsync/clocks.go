package dispatchsync

import (
	"sync"
	"time"

	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/watching"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/boottime"
)

// peerClocks relates the clocks of other daemons to that of this one. It is safe for
// concurrent use. Its lock is a leaf lock.
type peerClocks struct {
	mu     sync.Mutex
	clocks watching.Clocks[inflight.Key]
}

func (c *peerClocks) roundTrip(of inflight.Key, asked, read time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clocks.RoundTrip(of, asked, read)
}

// dated is what a heartbeat says of the moment of its confirmation.
type dated struct {
	// age is the time since the confirmation. It is known if the clock of the sender is, and
	// then not too short as long as the clocks drift by no more than package watching allows.
	age   time.Duration
	known bool
	// mustAsk is true if a read from the sender is to show its clock.
	mustAsk bool
}

// date dates the confirmation of a heartbeat. Senders of earlier releases do not tell their
// clocks.
func (c *peerClocks) date(from inflight.Key, b *peerpb.DispatchBatch, readAt time.Duration) dated {
	confirmed, sentAt := fromMillis(b.GetConfirmedMs()), fromMillis64(b.GetSentMs())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case b.GetTellsClock():
		mustAsk := c.clocks.MustAsk(from, sentAt, readAt)
		local, known := c.clocks.Local(from, sentAt-confirmed, readAt)
		return dated{age: readAt - local, known: known, mustAsk: mustAsk}
	case sentAt > 0:
		return dated{age: confirmed + c.clocks.Delay(from, sentAt, readAt), known: true}
	default:
		return dated{age: confirmed, known: true}
	}
}

// ObserveClock receives that another daemon read its clock after this one had asked it, each by
// its own clock since its boot.
func (e *Exchange) ObserveClock(of inflight.Key, asked, read time.Duration) {
	e.clocks.roundTrip(inflight.Key{Host: of.Host, Incarnation: of.Incarnation}, asked, read)
}

// receiveHeartbeat passes a heartbeat to the sink.
func (e *Exchange) receiveHeartbeat(from inflight.Key, b *peerpb.DispatchBatch) {
	now, readAt := time.Now(), boottime.Now() // a pause between the two makes the confirmation older
	from.Number = 0
	h := decodeHeartbeat(b)
	d := e.clocks.date(from, b, readAt)
	h.ConfirmedAt, h.ClockUnknown, h.MustRead = now.Add(-d.age), !d.known, d.mustAsk
	e.config.Sink.ObserveHeartbeat(from.Host, h)
}
