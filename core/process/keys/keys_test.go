package keys

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"github.com/cespare/xxhash/v2"
)

// rendezvous is the choice function of these tests.
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
	h := New(home, Window, rendezvous)
	h.SetExpected(3)
	h.runTo(2 * minute)
	h.Observe(all, 2*minute)
	for _, c := range []struct {
		at   time.Duration
		want bool
	}{{3 * minute, false}, {12*minute - 1, false}, {12 * minute, true}} {
		h.runTo(c.at)
		if p := h.Find(key, c.at); p.Settled != c.want || p.Home != home {
			t.Fatalf("at %s: %+v", c.at, p)
		}
	}
	h.runTo(20 * minute)
	h.Observe([]names.Host{home}, 20*minute)
	if p := h.Find(key, 20*minute); p.Settled {
		t.Fatal("settled within a minority")
	}
	h.Observe(all, 21*minute)
	h.runTo(22 * minute)
	if p := h.Find(key, 22*minute); p.Settled || p.SettledIn != 9*minute {
		t.Fatalf("after the minority: %+v", p)
	}
	h.runTo(31 * minute)
	if p := h.Find(key, 31*minute); !p.Settled {
		t.Fatalf("a window later: %+v", p)
	}
	if p := h.Find(key, 32*minute); !p.Settled {
		t.Fatalf("after a short pause: %+v", p)
	}
	if p := h.Find(key, 34*minute); p.Settled || !p.Paused {
		t.Fatalf("after a long pause: %+v", p)
	}
	h.runTo(44 * minute)
	if p := h.Find(key, 44*minute); !p.Settled || p.Paused {
		t.Fatalf("a window after the pause: %+v", p)
	}
}

// runTo lets the daemon run without a pause.
func (h *Homes) runTo(end time.Duration) {
	for now := h.alive; now <= end; now += 10 * time.Second {
		h.Alive(now)
	}
}

func TestTooManyViewsUnsettle(t *testing.T) {
	h := New("a", Window, func(names.Digest, []names.Host) names.Host { return "a" })
	h.SetExpected(2)
	for i := range 3 * MaxViews {
		h.Observe([]names.Host{"a", names.Host(strconv.Itoa(i))}, time.Duration(i)*time.Second)
	}
	dropped := time.Duration(2*MaxViews) * time.Second
	h.runTo(dropped + Window - 1)
	if p := h.Find("1", dropped+Window-1); p.Settled {
		t.Fatal("settled although views of the window were dropped")
	}
	if p := h.Find("1", dropped+Window); !p.Settled {
		t.Fatalf("not settled: %+v", p)
	}
}

// fleet runs keys at daemons that lose their memory and leave and come back.
type fleet struct {
	boots map[names.Host]time.Duration
	homes map[names.Host]*Homes
	ran   map[names.Host]map[names.Digest]time.Duration
}

func (f *fleet) boot(host names.Host, now time.Duration) {
	f.boots[host] = now
	f.homes[host] = New(host, Window, rendezvous)
	f.homes[host].SetExpected(len(hosts))
	f.ran[host] = map[names.Digest]time.Duration{}
}

var hosts = []names.Host{"a", "b", "c", "d", "e"}

// send reports whether the call ran. A naive home runs what it does not
// remember.
func (f *fleet) send(key names.Digest, live []names.Host, now time.Duration, naive bool) bool {
	home := rendezvous(key, live)
	if at, ok := f.ran[home][key]; ok && now-at < Window {
		return false
	}
	if !naive && !f.homes[home].Find(key, now-f.boots[home]).Settled {
		return false
	}
	f.ran[home][key] = now
	return true
}

// run returns how often a key ran twice within a window, and how often any ran.
func run(seed uint64, naive bool) (twice, ran int) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{boots: map[names.Host]time.Duration{}, homes: map[names.Host]*Homes{}, ran: map[names.Host]map[names.Digest]time.Duration{}}
	for _, host := range hosts {
		f.boot(host, 0)
	}
	last := map[names.Digest]time.Duration{}
	down := map[names.Host]bool{}
	for now := time.Duration(0); now < 3*time.Hour; now += 10 * time.Second {
		host := hosts[random.IntN(len(hosts))]
		switch random.IntN(60) {
		case 0:
			down[host] = !down[host]
			f.boot(host, now)
		case 1:
			f.boot(host, now)
		}
		var live []names.Host
		for _, host := range hosts {
			if !down[host] {
				live = append(live, host)
			}
		}
		if len(live) == 0 {
			continue
		}
		for _, host := range live {
			f.homes[host].Observe(live, now-f.boots[host])
		}
		key := names.Digest(strconv.Itoa(random.IntN(40)))
		if !f.send(key, live, now, naive) {
			continue
		}
		ran++
		if at, ok := last[key]; ok && now-at < Window {
			twice++
		}
		last[key] = now
	}
	return twice, ran
}

// TestNoKeyRunsTwiceWithinAWindow restarts daemons and changes the members in
// 50 seeded schedules. All daemons share a view; what contradictory views do
// is stated in the package's contract.
func TestNoKeyRunsTwiceWithinAWindow(t *testing.T) {
	var naiveTwice, ran int
	for seed := range uint64(50) {
		twice, ours := run(seed, false)
		if twice > 0 {
			t.Fatalf("seed %d: %d keys ran twice", seed, twice)
		}
		ran += ours
		twice, _ = run(seed, true)
		naiveTwice += twice
	}
	t.Logf("ran %d calls, none twice; the naive home repeated %d", ran, naiveTwice)
	if ran == 0 || naiveTwice == 0 {
		t.Fatal("the schedules prove nothing")
	}
}

func BenchmarkFind(b *testing.B) {
	for _, views := range []int{1, 16, MaxViews} {
		for _, daemons := range []int{9, 830} {
			b.Run(strconv.Itoa(daemons)+"daemons-"+strconv.Itoa(views)+"views", func(b *testing.B) {
				h := New("0", Window, rendezvous)
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
