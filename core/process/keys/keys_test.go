package keys

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"github.com/cespare/xxhash/v2"
)

// rendezvous is the choice function in these tests.
func rendezvous(key names.Digest, members []names.Host) names.Host {
	var best names.Host
	var highest uint64
	for _, m := range members {
		if score := xxhash.Sum64String(string(key) + "/" + string(m)); best == "" || score > highest {
			best, highest = m, score
		}
	}
	return best
}

const minute = time.Minute

func TestHomeSettles(t *testing.T) {
	all := []names.Host{"a", "b", "c"}
	key := names.Digest("1")
	home := rendezvous(key, all)
	h := New(home, SettleAfter, rendezvous)
	h.SetExpected(3)
	step := func(name string, at time.Duration, want HomeStatus) {
		t.Helper()
		h.runTo(at)
		if got := h.Find(key, at); got != want {
			t.Fatalf("%s: %+v", name, got)
		}
	}
	h.runTo(2 * minute)
	h.Observe(all, 2*minute)
	step("young", 3*minute, HomeStatus{Home: home, SettledIn: 14 * minute})
	step("almost", 17*minute-1, HomeStatus{Home: home, SettledIn: 1})
	step("settled", 17*minute, HomeStatus{Home: home, Settled: true})
	h.runTo(20 * minute)
	h.Observe([]names.Host{home}, 20*minute)
	step("in a minority", 20*minute, HomeStatus{Home: home, SettledIn: 15 * minute})
	h.Observe(all, 21*minute)
	step("after the minority", 22*minute, HomeStatus{Home: home, SettledIn: 14 * minute})
	step("settled again", 36*minute, HomeStatus{Home: home, Settled: true})
	if p := h.Find(key, 37*minute); !p.Settled {
		t.Fatalf("after a short pause: %+v", p)
	}
	if p := h.Find(key, 39*minute); p.Settled || !p.Paused {
		t.Fatalf("after a long pause: %+v", p)
	}
	step("later", 54*minute, HomeStatus{Home: home, Settled: true})
}

// runTo sends heartbeats without a pause until end.
func (h *HomeTracker) runTo(end time.Duration) {
	for now := h.lastHeartbeat; now <= end; now += 10 * time.Second {
		h.Heartbeat(now)
	}
}

func TestDroppedViewsUnsettleKeys(t *testing.T) {
	h := New("a", SettleAfter, func(names.Digest, []names.Host) names.Host { return "a" })
	h.SetExpected(2)
	for i := range 3 * MaxViews {
		h.Observe([]names.Host{"a", names.Host(strconv.Itoa(i))}, time.Duration(i)*time.Second)
	}
	dropped := time.Duration(2*MaxViews) * time.Second
	h.runTo(dropped + SettleAfter - 1)
	if p := h.Find("1", dropped+SettleAfter-1); p.Settled {
		t.Fatal("settled although views within SettleAfter were dropped")
	}
	if p := h.Find("1", dropped+SettleAfter); !p.Settled {
		t.Fatalf("not settled: %+v", p)
	}
}

// fleet simulates daemons that run keys, lose their state, leave and rejoin, and
// learn of membership changes late.
type fleet struct {
	settleAfter time.Duration
	bootedAt    map[names.Host]time.Duration
	homes       map[names.Host]*HomeTracker
	ran         map[names.Host]map[names.Digest]time.Duration
	// views holds the members as each daemon sees them, and pending the changes
	// that have not reached it yet.
	views   map[names.Host][]names.Host
	pending map[names.Host][]viewChange
}

type viewChange struct {
	at   time.Duration
	live []names.Host
}

func (f *fleet) boot(host names.Host, now time.Duration) {
	f.bootedAt[host] = now
	f.homes[host] = New(host, f.settleAfter, rendezvous)
	f.homes[host].SetExpected(len(hosts))
	f.ran[host] = map[names.Digest]time.Duration{}
	f.views[host] = nil
}

var hosts = []names.Host{"a", "b", "c", "d", "e"}

// deliver applies the changes that have reached the live daemons.
func (f *fleet) deliver(live []names.Host, now time.Duration) {
	for _, host := range live {
		for len(f.pending[host]) > 0 && f.pending[host][0].at <= now {
			f.views[host] = f.pending[host][0].live
			f.pending[host] = f.pending[host][1:]
		}
		f.homes[host].Heartbeat(now - f.bootedAt[host])
		if f.views[host] != nil {
			f.homes[host].Observe(f.views[host], now-f.bootedAt[host])
		}
	}
}

// send sends a call to the daemon entry and reports whether it ran. A naive home
// runs every key that it does not remember, settled or not.
func (f *fleet) send(key names.Digest, entry names.Host, down map[names.Host]bool, now time.Duration, naive bool) bool {
	if len(f.views[entry]) == 0 {
		return false
	}
	home := rendezvous(key, f.views[entry])
	if at, ok := f.ran[home][key]; down[home] || (ok && now-at < DedupWindow) {
		return false
	}
	if !naive && !f.homes[home].Find(key, now-f.bootedAt[home]).Settled {
		return false
	}
	f.ran[home][key] = now
	return true
}

// change stops, starts or restarts a random host. The other daemons learn of it
// after up to MaxDisagreement.
func (f *fleet) change(random *rand.Rand, down map[names.Host]bool, now time.Duration) {
	host := hosts[random.IntN(len(hosts))]
	if random.IntN(2) == 0 {
		down[host] = !down[host]
	}
	f.boot(host, now)
	live := liveHosts(down)
	for _, other := range hosts {
		at := now + time.Duration(random.Int64N(int64(MaxDisagreement)))
		if n := len(f.pending[other]); n > 0 {
			at = max(at, f.pending[other][n-1].at)
		}
		if other == host {
			at = now
			f.pending[other] = nil
		}
		f.pending[other] = append(f.pending[other], viewChange{at: at, live: live})
	}
}

// liveHosts returns the hosts that are not down.
func liveHosts(down map[names.Host]bool) []names.Host {
	var live []names.Host
	for _, host := range hosts {
		if !down[host] {
			live = append(live, host)
		}
	}
	return live
}

// run simulates one schedule. It returns how often a key ran again within the
// window, which covers resends and all their possible delays, and how many calls
// ran in total.
func run(seed uint64, settleAfter time.Duration, naive bool) (twice, ran int) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{
		settleAfter: settleAfter,
		bootedAt:    map[names.Host]time.Duration{}, homes: map[names.Host]*HomeTracker{},
		ran:   map[names.Host]map[names.Digest]time.Duration{},
		views: map[names.Host][]names.Host{}, pending: map[names.Host][]viewChange{},
	}
	for _, host := range hosts {
		f.boot(host, 0)
		f.pending[host] = []viewChange{{live: hosts}}
	}
	lastRun := map[names.Digest]time.Duration{}
	down := map[names.Host]bool{}
	for now := time.Duration(0); now < 6*time.Hour; now += 5 * time.Second {
		if random.IntN(180) == 0 {
			f.change(random, down, now)
		}
		live := liveHosts(down)
		f.deliver(live, now)
		if len(live) == 0 {
			continue
		}
		key := names.Digest(strconv.Itoa(random.IntN(20)))
		if !f.send(key, live[random.IntN(len(live))], down, now, naive) {
			continue
		}
		ran++
		if at, ok := lastRun[key]; ok && now-at < DedupWindow {
			twice++
		}
		lastRun[key] = now
	}
	return twice, ran
}

// TestNoKeyRunsTwice restarts daemons and changes the members in seeded random
// schedules, in which daemons disagree about the members for up to
// MaxDisagreement. As a check of the schedules, a home that settles after the
// window alone, without MaxDisagreement, and a naive home both run keys twice.
func TestNoKeyRunsTwice(t *testing.T) {
	const schedules = 60
	var naiveTwice, windowOnlyTwice, naiveRan, ran int
	for seed := range uint64(schedules) {
		twice, runs := run(seed, SettleAfter, false)
		if twice > 0 {
			t.Errorf("seed %d: %d keys ran twice", seed, twice)
		}
		ran += runs
		twice, _ = run(seed, DedupWindow, false)
		windowOnlyTwice += twice
		twice, runs = run(seed, SettleAfter, true)
		naiveTwice += twice
		naiveRan += runs
	}
	t.Logf("ran %d calls, none twice; settled after the window alone: %d twice; naive: %d twice of %d", ran, windowOnlyTwice, naiveTwice, naiveRan)
	if ran == 0 || windowOnlyTwice == 0 || naiveTwice == 0 {
		t.Fatal("the schedules do not detect keys that run twice")
	}
}

func BenchmarkFind(b *testing.B) {
	for _, views := range []int{1, 16, MaxViews} {
		for _, daemons := range []int{9, 830} {
			b.Run(strconv.Itoa(daemons)+"daemons-"+strconv.Itoa(views)+"views", func(b *testing.B) {
				h := New("0", SettleAfter, rendezvous)
				h.SetExpected(daemons)
				for v := range views {
					members := make([]names.Host, daemons-v%2)
					for i := range members {
						members[i] = names.Host(strconv.Itoa(i))
					}
					h.Observe(members, time.Duration(v)*time.Second)
				}
				for b.Loop() {
					h.Find("key", time.Duration(views)*time.Second)
				}
			})
		}
	}
}
