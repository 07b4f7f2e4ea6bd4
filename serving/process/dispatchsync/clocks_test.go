package dispatchsync

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/boottime"
	"carobspoke.example/serving/process/published"
)

// heartbeatOf has one end send a heartbeat, and returns it as the other one receives it.
func heartbeatOf(t *testing.T, from, to end, revision uint64, confirmedAt time.Time) published.Heartbeat {
	t.Helper()
	from.exchange.SendHeartbeat([]names.Host{to.host}, published.Heartbeat{Position: replicas.Position{Revision: revision}, ConfirmedAt: confirmedAt})
	var got published.Heartbeat
	eventually(t, "the heartbeat", func() bool {
		to.sink.mu.Lock()
		defer to.sink.mu.Unlock()
		got = to.sink.heartbeat
		return got.Position.Revision == revision
	})
	return got
}

// Guards against taking the first heartbeat of a sender for one that was not held up on its way.
func TestHeartbeatOfUnknownClockConfirmsNothing(t *testing.T) {
	from, to := pair(t)
	got := heartbeatOf(t, from, to, 1, time.Now())
	if !got.ClockUnknown || !got.MustRead {
		t.Fatalf("heartbeat %+v of a sender whose clock is not known", got)
	}
	to.knowClockOf(from)
	confirmedAt := time.Now()
	if got = heartbeatOf(t, from, to, 2, confirmedAt); got.ClockUnknown || got.ConfirmedAt.After(confirmedAt) {
		t.Fatalf("heartbeat %+v of a sender whose clock is known, confirmed at %s", got, confirmedAt)
	}
}

// A daemon of an earlier release tells no clock. Its heartbeats must go on to confirm the records.
func TestHeartbeatOfEarlierReleaseConfirms(t *testing.T) {
	from, to := pair(t)
	batch := from.exchange.newBatch()
	batch.Revision, batch.ConfirmedMs, batch.SentMs = 3, 100, uint64(boottime.Now().Milliseconds())
	to.exchange.receiveHeartbeat(inflight.Key{Host: from.host, Incarnation: 7}, batch)
	if got := to.sink.heartbeat; got.ClockUnknown || got.MustRead || time.Since(got.ConfirmedAt) < 100*time.Millisecond {
		t.Fatalf("heartbeat %+v", got)
	}
	withoutTimes := &peerpb.DispatchBatch{Host: batch.GetHost(), Incarnation: 7, Revision: 4, ConfirmedMs: 100}
	to.exchange.receiveHeartbeat(inflight.Key{Host: from.host, Incarnation: 7}, withoutTimes)
	if got := to.sink.heartbeat; got.ClockUnknown || time.Since(got.ConfirmedAt) < 100*time.Millisecond {
		t.Fatalf("heartbeat %+v", got)
	}
}
