package watching

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// hostClock is the clock of a host: what it shows at a true time.
type hostClock struct {
	offset time.Duration
	// gain is by how much the clock is fast, in billionths.
	gain int64
}

func (c hostClock) at(now time.Duration) time.Duration {
	return c.offset + now + now/1e9*time.Duration(c.gain) + now%1e9*time.Duration(c.gain)/1e9
}

// share is the part of each period in which a process runs, from a phase on.
type share struct{ phase, runs, period time.Duration }

// resume returns the first moment from now on at which the process runs.
func (s share) resume(now time.Duration) time.Duration {
	if s.runs >= s.period {
		return now
	}
	into := ((now-s.phase)%s.period + s.period) % s.period
	if into < s.runs {
		return now
	}
	return now - into + s.period
}

// hand is a daemon that hands on a confirmation in heartbeats.
type hand struct {
	clock  hostClock
	runs   share
	clocks Clocks[int]
	// delayed is when the records were confirmed according to Delay, proven according to
	// Local, both by the own clock, and truth the true time of the latest confirmation.
	delayed, proven, truth time.Duration
	// late and lateProven are by how much delayed and proven were too late at most, and
	// early by how much proven was too early at most, from settleTime on.
	late, lateProven, early time.Duration
	// known is the true time from which on a moment is proven, asked the true times of the
	// questions, and answer the last answer, which arrives at answered.
	known    time.Duration
	asked    []time.Duration
	answer   roundTrip
	answered time.Duration
}

const (
	confirmInterval = 600 * time.Millisecond
	networkTime     = time.Millisecond
	settleTime      = 20 * time.Second
)

// chain replays a watcher, which is confirmed every confirmInterval, and daemons that learn of it
// one from the other. There is no network: a message arrives after networkTime, and is read when
// its receiver runs.
type chain struct {
	hands []*hand
	stall func() time.Duration
}

func (c *chain) resume(h *hand, at time.Duration) time.Duration { return h.runs.resume(at + c.stall()) }

func (c *chain) run(lasts time.Duration) {
	watcher := c.hands[0]
	for now := time.Second; now < lasts; now += heartbeat {
		confirmed := watcher.runs.resume(now / confirmInterval * confirmInterval)
		sent := c.resume(watcher, max(now, confirmed))
		watcher.truth = confirmed
		watcher.delayed, watcher.proven = watcher.clock.at(confirmed), watcher.clock.at(confirmed)
		for i := 1; i < len(c.hands); i++ {
			sent = c.deliver(i, sent)
			sent = c.resume(c.hands[i], sent+time.Duration(i)*37*time.Millisecond) // its own heartbeat
		}
	}
}

// deliver passes the heartbeat of a hand to the next one and returns when it was read.
func (c *chain) deliver(to int, sent time.Duration) time.Duration {
	from, h := c.hands[to-1], c.hands[to]
	read := c.resume(h, sent+networkTime)
	sentAt, readAt := from.clock.at(sent), h.clock.at(read)
	age := sentAt - from.delayed
	if at := readAt - age - h.clocks.Delay(to, sentAt, readAt); at > h.delayed {
		h.delayed = at
	}
	if h.answered > 0 && h.answered <= read {
		h.clocks.RoundTrip(to, h.answer.asked, h.answer.read)
		h.answered = 0
	}
	if h.clocks.MustAsk(to, sentAt.Truncate(clockResolution), readAt) {
		h.asked = append(h.asked, read)
		answered := c.resume(from, read+networkTime)
		h.answer = roundTrip{asked: readAt, read: from.clock.at(answered).Truncate(clockResolution)}
		h.answered = c.resume(h, answered+networkTime)
	}
	local, known := h.clocks.Local(to, from.proven.Truncate(clockResolution), readAt)
	h.truth = max(h.truth, from.truth)
	h.late = max(h.late, h.delayed-h.clock.at(h.truth))
	if !known {
		return read
	}
	if h.known == 0 {
		h.known = read
	}
	h.proven = max(h.proven, local)
	h.lateProven = max(h.lateProven, h.proven-h.clock.at(h.truth))
	if read > settleTime {
		h.early = max(h.early, h.clock.at(h.truth)-h.proven)
	}
	return read
}

func (h *hand) print(out *strings.Builder, lasts time.Duration) {
	first, later := 0, 0
	for _, at := range h.asked {
		if at < time.Minute {
			first++
		} else {
			later++
		}
	}
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	fmt.Fprintf(out, "fastest as reference: late by up to %s; round trips: late by up to %s, early by up to %s, known after %s; questions: %d in the first minute, %.2f a minute later\n",
		round(h.late), h.lateProven, round(h.early), round(h.known), first, float64(later)/(lasts.Minutes()-1))
}

// TestClocksOfDaemonsThatRunInTurn prints how wrong the moment of a confirmation is after each of
// up to three hands, by the delay beyond the fastest message and by round trips, and how many
// questions those take. Guards against records that count as complete as of a moment at which
// they were not, on hosts whose processes run in a part of each tenth of a second.
func TestClocksOfDaemonsThatRunInTurn(t *testing.T) {
	datadriven.RunTest(t, "testdata/clocks", func(t *testing.T, d *datadriven.TestData) string {
		var runs, stalls, seconds, seed int
		var phases []int
		d.ScanArgs(t, "runs", &runs)
		d.ScanArgs(t, "phases", &phases)
		d.ScanArgs(t, "seconds", &seconds)
		d.MaybeScanArgs(t, "stalls", &stalls)
		d.MaybeScanArgs(t, "seed", &seed)
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		c := chain{stall: func() time.Duration { return 0 }}
		if stalls > 0 {
			c.stall = func() time.Duration {
				if random.IntN(4) > 0 {
					return 0
				}
				return time.Duration(random.IntN(stalls)) * time.Millisecond
			}
		}
		for i, phase := range phases {
			c.hands = append(c.hands, &hand{
				clock: hostClock{offset: time.Duration(i) * time.Hour, gain: int64(i%2) * 20_000},
				runs:  share{phase: time.Duration(phase) * time.Millisecond, runs: time.Duration(runs) * time.Millisecond, period: 100 * time.Millisecond},
			})
		}
		lasts := time.Duration(seconds) * time.Second
		c.run(lasts)
		var out strings.Builder
		for i, h := range c.hands[1:] {
			if h.lateProven > 0 {
				t.Errorf("%s: hand %d takes its records for complete as of %s too late", d.Pos, i+1, h.lateProven)
			}
			fmt.Fprintf(&out, "hand %d: ", i+1)
			h.print(&out, lasts)
		}
		return out.String()
	})
}

// Random clocks, drifts, delays and stalls. Guards against a bound that lets records count as
// complete as of a later moment than the true one, also with messages and answers out of order.
func TestLocalMomentIsNeverAfterTheTruth(t *testing.T) {
	const largestGain = 1e9 / maxClockDrift / 2 * 99 / 100
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d) + 1)) }
		clock := func() hostClock {
			return hostClock{offset: upTo(1000 * time.Hour), gain: random.Int64N(2*largestGain) - largestGain}
		}
		own, other := clock(), clock()
		slowest := upTo(2 * time.Second)
		var clocks Clocks[string]
		var answers []roundTrip
		now := time.Duration(0)
		shown := 0
		for range 2000 {
			now += upTo(2 * time.Second)
			sent, read := now, now+upTo(slowest)
			sentAt, readAt := other.at(sent).Truncate(clockResolution), own.at(read)
			if clocks.MustAsk("other", sentAt, readAt) {
				answers = append(answers, roundTrip{asked: readAt, read: other.at(read + upTo(slowest)).Truncate(clockResolution)})
			}
			if len(answers) > 0 && random.IntN(2) == 0 {
				i := random.IntN(len(answers))
				clocks.RoundTrip("other", answers[i].asked, answers[i].read)
			}
			confirmed := sent - upTo(min(sent, 5*time.Second))
			local, known := clocks.Local("other", other.at(confirmed).Truncate(clockResolution), readAt)
			if !known {
				continue
			}
			shown++
			if truth := own.at(confirmed); local > truth {
				t.Fatalf("seed %d: %s after the truth", seed, local-truth)
			}
		}
		if shown < 1500 {
			t.Errorf("seed %d: only %d of 2000 moments are known", seed, shown)
		}
	}
}

// The clock of a virtual machine jumps while the process goes on. Guards against moments that
// are shown by a round trip from before the jump.
func TestJumpOfClockIsNoticedByTheNextMessage(t *testing.T) {
	const way = time.Millisecond
	for _, test := range []struct {
		name      string
		own, sent time.Duration // by how much the clocks jump
		forgotten bool
	}{
		{"the sender's ahead", 0, 3 * time.Second, true},
		{"the own one behind", -3 * time.Second, 0, true},
		{"the sender's behind", 0, -3 * time.Second, false},
		{"the own one ahead", 3 * time.Second, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			const offset = time.Hour // own clock less the sender's
			var clocks Clocks[string]
			clocks.RoundTrip("sender", offset+time.Minute, time.Minute+way)
			sentAt, readAt := 61*time.Second+test.sent, offset+61*time.Second+test.own+way
			confirmed := sentAt - time.Second
			if !clocks.MustAsk("sender", sentAt, readAt) {
				t.Error("the sender is not asked")
			}
			local, known := clocks.Local("sender", confirmed, readAt)
			if known == test.forgotten || known && local > readAt-time.Second {
				t.Errorf("the confirmation before the last second is at %s of %s (%t)", local, readAt, known)
			}
			clocks.RoundTrip("sender", readAt, sentAt+2*way)
			local, known = clocks.Local("sender", confirmed, readAt)
			if early := readAt - time.Second - local; !known || early < 0 || early > 5*way {
				t.Errorf("early by %s (%t) after a round trip", early, known)
			}
		})
	}
}

// Each answer is lost, or the sender is so slow that no round trip is precise. Guards against
// questions with each heartbeat.
func TestQuestionsToSlowSenderAreRare(t *testing.T) {
	for _, test := range []struct {
		name  string
		trip  time.Duration // zero: no answer
		most  int
		least int
	}{
		{"no answer", 0, 120, 60},
		{"answers after 400 ms", 400 * time.Millisecond, 6, 3},
		{"answers after 5 ms", 5 * time.Millisecond, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var clocks Clocks[string]
			questions := 0
			for now := time.Duration(0); now < time.Minute; now += heartbeat {
				readAt := now + test.trip/2
				if clocks.MustAsk("sender", now, readAt) {
					questions++
					if test.trip > 0 {
						clocks.RoundTrip("sender", readAt, readAt+test.trip/2)
					}
				}
			}
			if questions < test.least || questions > test.most {
				t.Errorf("%d questions in a minute, want %d to %d", questions, test.least, test.most)
			}
		})
	}
}

// Two hosts with the same identity, as two copies of a virtual machine, send in turn. Guards
// against a bound of the one that makes moments of the other too late, and against questions
// without a pause.
func TestSendersWithTheSameIdentity(t *testing.T) {
	const ahead = time.Minute
	var clocks Clocks[string]
	questions, lastAsked := 0, -time.Hour
	for n := range 300 {
		now := time.Hour + time.Duration(n)*heartbeat/2
		sentAt := now
		if n%2 == 1 {
			sentAt += ahead
		}
		readAt := now + time.Millisecond
		if clocks.MustAsk("sender", sentAt, readAt) {
			if readAt-lastAsked < minAskPause {
				t.Fatalf("asked again after %s", readAt-lastAsked)
			}
			questions++
			lastAsked = readAt
			clocks.RoundTrip("sender", readAt, sentAt+2*time.Millisecond)
		}
		if local, known := clocks.Local("sender", sentAt-time.Second, readAt); known && local > now-time.Second {
			t.Fatalf("message %d: %s after the truth", n, local-(now-time.Second))
		}
	}
	if questions == 0 {
		t.Error("no questions")
	}
}

// Guards against forgetting all senders, or one that is heard all the time, when too many have
// been seen.
func TestLeastRecentlyUsedSenderIsForgotten(t *testing.T) {
	var clocks Clocks[int]
	const readAt = time.Hour
	for sender := range 3 * maxSenders {
		clocks.RoundTrip(sender, readAt, time.Minute)
		if _, known := clocks.Local(0, time.Minute, readAt); !known {
			t.Fatalf("the first sender, heard all the time, is not known after %d others", sender)
		}
		if len(clocks.senders) > maxSenders || clocks.used.Len() != len(clocks.senders) {
			t.Fatalf("%d senders of %d in the list", len(clocks.senders), clocks.used.Len())
		}
	}
	for sender, want := range map[int]bool{1: false, 2*maxSenders + 1: true, 3*maxSenders - 1: true} {
		if _, known := clocks.Local(sender, time.Minute, readAt); known != want {
			t.Errorf("sender %d is known: %t, want %t", sender, known, want)
		}
	}
}
