package watching

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// region replays the daemons of a region: three watchers, two relays in each data centre,
// and all others, which hear the relays. A message takes messageTime, a call callTime.
type region struct {
	daemons []*replayed
	random  *rand.Rand
	now     time.Time
	// changed is when the source acknowledged the only change.
	changed time.Time
	// inForce holds when each daemon had the change.
	inForce  map[*replayed]time.Time
	messages []message
	calls    int
}

const (
	messageTime = 10 * time.Millisecond
	callTime    = 10 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	heartbeat   = 400 * time.Millisecond
)

// replayed is one daemon.
type replayed struct {
	plan           *Plan
	centre         int
	watcher, relay bool
	peers          int
	// cut is how the source treats the daemon.
	cut       *cut
	confirmed time.Time
	heard     time.Time
	stale     time.Time
	lost      bool
	hasChange bool
	sent      time.Time // the last heartbeat
	told      time.Time // the confirmation in it
	call      *openCall
}

// cut is how the source treats some daemons from a moment on.
type cut struct {
	from time.Time
	// openHangs and newHangs are true if open and new calls get no answer; otherwise they
	// are refused. dead is true if the daemons send no heartbeats either.
	openHangs, newHangs, dead bool
}

type openCall struct {
	sent, ends time.Time
	wait       time.Duration
	answered   bool
}

type message struct {
	to        *replayed
	at        time.Time
	confirmed time.Time
	lost      bool
	change    bool
}

func newRegion(centres, perCentre int, oneCentre bool, seed uint64) *region {
	r := &region{random: rand.New(rand.NewPCG(seed, 1)), now: start, inForce: make(map[*replayed]time.Time)}
	for i := range centres * perCentre {
		d := &replayed{plan: New(rand.New(rand.NewPCG(seed, uint64(i)))), centre: i % centres, relay: i/centres < 2, peers: perCentre, confirmed: start, heard: start}
		if d.relay {
			d.peers = 2 * centres
		}
		d.watcher = i >= centres && i < centres+3
		if oneCentre {
			d.watcher = i%centres == 0 && i/centres < 3
		}
		r.daemons = append(r.daemons, d)
	}
	return r
}

func (d *replayed) isCut(now time.Time) bool { return d.cut != nil && !now.Before(d.cut.from) }

func (r *region) step() {
	for _, d := range r.daemons {
		if d.isCut(r.now) && d.cut.dead {
			continue
		}
		r.endCall(d)
		s := Situation{
			Watcher: d.watcher, Peers: d.peers, Age: time.Hour, ConfirmedAge: r.now.Sub(d.confirmed),
			HeartbeatAge: r.now.Sub(d.heard), StaleAge: r.now.Sub(d.stale),
		}
		if d.call == nil && d.plan.Due(s, r.now) {
			r.begin(d)
		}
		r.tell(d)
	}
	rest := r.messages[:0]
	for _, m := range r.messages {
		if m.at.After(r.now) {
			rest = append(rest, m)
			continue
		}
		r.receive(&m)
	}
	r.messages = rest
	r.now = r.now.Add(step / 2)
}

func (r *region) begin(d *replayed) {
	r.calls++
	c := &openCall{sent: r.now, wait: WatchTimeFor(r.now.Sub(d.confirmed)), answered: true}
	switch {
	case !d.isCut(r.now):
		c.ends = r.now.Add(c.wait + callTime)
	case d.cut.newHangs:
		c.ends, c.answered = r.now.Add(c.wait+callTimeout), false
	default:
		c.ends, c.answered = r.now.Add(callTime), false
	}
	d.call = c
}

// endCall ends the open call of a daemon if it is answered, refused or times out.
func (r *region) endCall(d *replayed) {
	c := d.call
	if c == nil {
		return
	}
	if c.answered && d.isCut(r.now) {
		c.answered = false
		c.ends = r.now
		if d.cut.openHangs {
			c.ends = c.sent.Add(c.wait + callTimeout)
		}
	}
	changed := c.answered && !d.hasChange && !r.changed.IsZero() && !r.now.Before(r.changed)
	if r.now.Before(c.ends) && !changed {
		return
	}
	d.call = nil
	if !c.answered {
		d.plan.Failed(r.now)
		d.lost = true
		return
	}
	d.lost = false
	d.plan.Succeeded(r.now)
	d.confirmed = later(d.confirmed, ConfirmedAt(c.sent, c.wait, changed, r.now))
	if changed {
		r.apply(d)
	}
}

func (r *region) apply(d *replayed) {
	if !d.hasChange {
		d.hasChange = true
		r.inForce[d] = r.now
		d.told = time.Time{}
	}
}

// tell sends the heartbeats of a daemon.
func (r *region) tell(d *replayed) {
	volunteer := d.plan.Volunteering(r.now)
	if !volunteer && !d.watcher && !d.relay || r.now.Sub(d.sent) < heartbeat && d.confirmed.Sub(d.told) < 300*time.Millisecond {
		return
	}
	d.sent, d.told = r.now, d.confirmed
	for _, to := range r.daemons {
		if to != d && (to.relay && (volunteer || d.watcher) || to.centre == d.centre && (volunteer || d.relay)) {
			r.messages = append(r.messages, message{to: to, at: r.now.Add(messageTime), confirmed: d.confirmed, lost: d.lost, change: d.hasChange})
		}
	}
}

func (r *region) receive(m *message) {
	d := m.to
	if m.change {
		r.apply(d) // the read from the sender is not replayed
	}
	if m.lost || r.now.Sub(m.confirmed) > MaxUnconfirmed {
		d.stale = r.now
		return
	}
	d.heard = r.now
	d.confirmed = later(d.confirmed, m.confirmed)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.step()
	}
}

// The watchers of a region are cut off from the source or die, and the source
// acknowledges a change at any time from then on. Guards against heartbeats of daemons that
// are alive and know nothing new: all other daemons must have the change in force in time.
func TestChangeIsInForceAlthoughWatchersAreCutOff(t *testing.T) {
	cuts := map[string]cut{
		"silent":                         {openHangs: true, newHangs: true},
		"new calls refused, open silent": {openHangs: true},
		"open cut, new silent":           {newHangs: true},
		"refused":                        {},
		"dead":                           {dead: true},
	}
	const margin = 400 * time.Millisecond // for reading the change and for a slow host
	for _, size := range []struct{ centres, perCentre int }{{1, 8}, {3, 3}, {3, 15}, {5, 59}, {9, 92}} {
		for name, c := range cuts {
			for seed := range uint64(4) {
				for _, oneCentre := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d daemons/%s/one data centre %t/%d", size.centres*size.perCentre, name, oneCentre, seed), func(t *testing.T) {
						t.Parallel()
						r := newRegion(size.centres, size.perCentre, oneCentre, seed)
						r.run(5*time.Second + time.Duration(r.random.Int64N(int64(WatchTime))))
						c := c
						c.from = r.now
						for _, d := range r.daemons {
							if d.watcher {
								d.cut = &c
							}
						}
						r.run(time.Duration(r.random.Int64N(int64(3 * time.Second))))
						r.changed = r.now
						r.run(ApplyTime)
						for i, d := range r.daemons {
							if at, ok := r.inForce[d]; !d.watcher && (!ok || at.Sub(r.changed) > ApplyTime-margin) {
								t.Fatalf("daemon %d has the change after %s (%t)", i, at.Sub(r.changed), ok)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against calls by daemons that need none, in calm and with a single watcher left.
func TestOnlyWatchersCallInCalm(t *testing.T) {
	for _, watchers := range []int{1, 3} {
		r := newRegion(5, 59, false, 1)
		left := 0
		for _, d := range r.daemons {
			if d.watcher {
				left++
				d.watcher = left <= watchers
			}
		}
		r.run(20 * time.Second)
		if most := watchers*int(20*time.Second/WatchTime) + 10; r.calls > most {
			t.Errorf("%d watchers: %d calls in 20 s, want at most %d", watchers, r.calls, most)
		}
	}
}
