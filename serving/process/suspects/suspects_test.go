package suspects

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	core "carobspoke.example/core/process/suspects"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/relay"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// fixture is a Guard with targets that have ended after delay, or live on.
type fixture struct {
	*Guard
	ended bool
	delay time.Duration
	// collectedElsewhere is true if the daemon is no collector.
	collectedElsewhere bool
	logs               *observer.ObservedLogs

	mu          sync.Mutex
	accusations []core.Accusation
	published   []core.Message
}

func newFixture() *fixture {
	zapCore, logs := observer.New(zap.InfoLevel)
	f := &fixture{ended: true, logs: logs}
	f.Guard = New(Config{
		Ended: func(ctx context.Context, _ replicas.Incarnation, _ string) bool {
			select {
			case <-time.After(f.delay):
				return f.ended
			case <-ctx.Done():
				return false
			}
		},
		Accuse: func(service names.Service, a *core.Accusation) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			if service == "s" {
				f.accusations = append(f.accusations, *a)
			}
			return !f.collectedElsewhere
		},
		Publish: func(m core.Message) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.published = append(f.published, m)
		},
		Log: zap.New(zapCore),
	})
	return f
}

// received returns the accusations that were sent so far.
func (f *fixture) received() []core.Accusation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accusations
}

func request(id int, parts ...string) *core.Request {
	r := core.NewRequest("c", "GET", fmt.Sprint("/", id), nil, parts)
	return &r
}

// loss is the connection to the n-th target, which broke under a request with parts.
func loss(n int, parts ...string) *relay.Loss {
	return &relay.Loss{Request: request(n, parts...), Service: "s", Target: replicas.Incarnation{ID: names.Target(fmt.Sprint("t-", n))}}
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met within 5 s: %s", what)
		}
	}
}

// The third end refuses new requests with the part: not run, with the time until the
// refusal expires. The second one forbids retries.
func TestThirdEndRefusesPart(t *testing.T) {
	f := newFixture()
	for n := range core.EndsToRefuse {
		ended, mayRetry := f.ConnectionLost(t.Context(), loss(n, "first", "bad"))
		if !ended || mayRetry != (n+1 < core.EndsToStopRetries) {
			t.Fatalf("end %d: ended %t, may retry %t", n, ended, mayRetry)
		}
	}
	eventually(t, "a refusal", func() bool { return f.Refusal(request(9, "bad")) != nil })
	refusal := f.Refusal(request(9, "bad"))
	if refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.CrashSuspect || refusal.RetryAfter > core.RefusedShortlyFor || refusal.RetryAfter < core.RefusedShortlyFor-5*time.Second {
		t.Fatalf("refusal %+v", refusal)
	}
	eventually(t, "accusations", func() bool { return len(f.received()) == core.EndsToRefuse && f.Ends() == core.EndsToRefuse })
	f.tick()
	if f.logs.FilterMessage("requests with a suspect part are refused").Len() != 2 || f.logs.FilterMessage("target ended").Len() == 0 || f.Counts().Refused != 2 {
		t.Fatalf("log %v, counts %+v", f.logs.All(), f.Counts())
	}
	f.Sound(request(10, "first", "bad"), time.Now())
	f.tick()
	if f.Refusal(request(11, "bad")) != nil || f.logs.FilterMessage("requests with a suspect part are accepted again").Len() != 2 {
		t.Fatalf("log %v", f.logs.All())
	}
}

// Neither a target that lives on nor an answer that had begun long before accuses a part.
func TestNoEndAccusesNothing(t *testing.T) {
	f := newFixture()
	for n := range 5 {
		l := loss(n, "long")
		l.SinceFirstEvent = core.AccusedFor + time.Millisecond
		if ended, mayRetry := f.ConnectionLost(t.Context(), l); !ended || !mayRetry {
			t.Fatalf("ended %t, may retry %t", ended, mayRetry)
		}
	}
	f.ended = false
	for n := range 5 {
		if ended, mayRetry := f.ConnectionLost(t.Context(), loss(n, "cut")); ended || !mayRetry {
			t.Fatalf("ended %t, may retry %t", ended, mayRetry)
		}
	}
	if c := f.Counts(); c.Accused != 0 || len(f.received()) != 0 {
		t.Fatalf("%+v, accusations %v", c, f.received())
	}
}

// A request whose time is nearly over does not wait for the check, but the end must be
// counted.
func TestEndIsCountedAfterRequestHasLeft(t *testing.T) {
	f := newFixture()
	f.delay = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if ended, mayRetry := f.ConnectionLost(ctx, loss(1, "bad")); ended || !mayRetry {
		t.Fatalf("ended %t, may retry %t", ended, mayRetry)
	}
	eventually(t, "the accusation", func() bool { return len(f.received()) == 1 })
}

// The requests that one end cuts off within a moment go into one accusation.
func TestRequestsCutOffByOneEndShareAccusation(t *testing.T) {
	f := newFixture()
	var cut sync.WaitGroup
	for i := range 8 {
		cut.Go(func() {
			l := loss(1, fmt.Sprint("part-", i))
			f.ConnectionLost(t.Context(), l)
		})
	}
	cut.Wait()
	eventually(t, "the accusation", func() bool {
		list := f.received()
		return len(list) > 0 && len(list[len(list)-1].Suspects) == 9 // eight parts and the whole request
	})
	if n := len(f.received()); n > 3 {
		t.Fatalf("%d accusations of one end", n)
	}
}

// A message that cannot be read is an error, and a daemon at which a request with the part
// completed contradicts a refusal of others.
func TestRefusalOfOthersIsContradicted(t *testing.T) {
	f, other := newFixture(), newFixture()
	for n := range core.EndsToRefuse {
		other.ConnectionLost(t.Context(), loss(n, "first"))
	}
	eventually(t, "a refusal", func() bool { return other.Refusal(request(9, "first")) != nil })
	other.tick()
	f.Sound(request(1, "first"), time.Now())
	for i := range other.published {
		if err := f.Receive(&other.published[i]); err != nil {
			t.Fatal(err)
		}
	}
	if f.Refusal(request(2, "first")) != nil || len(f.published) == 0 {
		t.Fatalf("refused, or %d messages", len(f.published))
	}
	for i := range f.published {
		if err := other.Receive(&f.published[i]); err != nil {
			t.Fatal(err)
		}
	}
	if other.Refusal(request(9, "first")) != nil {
		t.Fatal("the clearance has no effect")
	}
	if f.Receive(&core.Message{Key: "x"}) == nil {
		t.Fatal("a message that cannot be read is accepted")
	}
}

// A daemon that is no collector knows only its own ends, in which a part beside the
// crashing one may be as often. It must not refuse by these, but stops its retries.
func TestOnlyCollectorsRefuse(t *testing.T) {
	f := newFixture()
	f.collectedElsewhere = true
	for n := range 2 * core.EndsToRefuse {
		if _, mayRetry := f.ConnectionLost(t.Context(), loss(n, "beside")); mayRetry != (n+1 < core.EndsToStopRetries) {
			t.Fatalf("end %d: may retry %t", n, mayRetry)
		}
	}
	eventually(t, "the accusations", func() bool { return f.Ends() == 2*core.EndsToRefuse })
	time.Sleep(core.SettleTime)
	if f.Refusal(request(99, "beside")) != nil {
		t.Fatal("a daemon that is no collector refuses a part")
	}
}
