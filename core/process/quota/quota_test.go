package quota

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"pgregory.net/rapid"
)

const (
	perSecond = 1000.0
	requestOf = 50.0
)

// side is the daemons on one side of a partition, with one home.
type side struct {
	home   *Home
	locals []*Local
	fleet  Fleet
	// homeUp says whether the home answers.
	homeUp bool
}

func newSide(daemons, unreachable int) *side {
	s := &side{home: NewHome(), homeUp: true, fleet: Fleet{Live: daemons, Unreachable: unreachable}}
	for range daemons {
		s.locals = append(s.locals, NewLocal())
	}
	return s
}

// send makes one request at a daemon and returns the tokens admitted.
func (s *side) send(daemon int, tokens float64, now time.Time) float64 {
	l := s.locals[daemon]
	d := l.Admit("c", perSecond, tokens, s.fleet, now)
	if d.Outcome == Ask && s.homeUp {
		d = l.Granted("c", perSecond, tokens, s.home.Ask(names.Host(strconv.Itoa(daemon)), "c", perSecond, d.Tokens, s.fleet, now), s.fleet, now)
	} else if d.Outcome == Ask {
		d = l.Unreachable("c", perSecond, tokens, s.fleet, now)
	}
	if d.Outcome == Admitted {
		return tokens
	}
	return 0
}

// flood sends ten times the quota for a time, each request at a daemon that
// pick chooses, and returns the tokens admitted.
func (s *side) flood(pick func(i int) int) float64 {
	const rate = 200
	var admitted float64
	for i := range int(lasts.Seconds()) * rate {
		now := start.Add(time.Duration(i) * time.Second / rate)
		admitted += s.send(pick(i), requestOf, now)
	}
	return admitted
}

var start = time.Unix(1000, 0)

const lasts = 100 * time.Second

func init() {
	_ = flag.Set("rapid.seed", "1") // the same cases in each run
}

// TestQuotaIsNotMultipliedByDaemons floods fleets of several sizes at ten
// times the quota. A naive daemon with the whole quota each admits as many
// times more as there are daemons.
func TestQuotaIsNotMultipliedByDaemons(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 50} {
		s := newSide(daemons, 0)
		bound := perSecond*(lasts+s.fleet.burst()).Seconds() + requestOf
		admitted := s.flood(func(i int) int { return i % daemons })
		if admitted > bound {
			t.Errorf("%d daemons admitted %.0f, the bound is %.0f", daemons, admitted, bound)
		}
		if admitted < 0.95*perSecond*lasts.Seconds() {
			t.Errorf("%d daemons admitted only %.0f", daemons, admitted)
		}
		naive := 0.0
		for range daemons {
			naive += newSide(1, 0).flood(func(int) int { return 0 })
		}
		if daemons > 1 && naive <= bound {
			t.Errorf("the naive version with %d daemons kept the bound: %.0f", daemons, naive)
		}
	}
}

func TestBothSidesOfAPartitionHandOutOneQuota(t *testing.T) {
	small, large := newSide(3, 6), newSide(6, 3)
	admitted := small.flood(func(i int) int { return i % 3 })
	admitted += large.flood(func(i int) int { return i % 6 })
	if bound := perSecond*(lasts+BurstTime).Seconds() + 2*requestOf; admitted > bound {
		t.Fatalf("admitted %.0f, the bound is %.0f", admitted, bound)
	}
}

func TestWithoutAHomeTheStaticPartGoesOn(t *testing.T) {
	s := newSide(9, 0)
	s.homeUp = false
	admitted := s.flood(func(i int) int { return i % 9 })
	static := StaticShare * perSecond * lasts.Seconds()
	if admitted < 0.95*static || admitted > 1.2*static+9*requestOf {
		t.Fatalf("admitted %.0f, the static part is %.0f", admitted, static)
	}
}

func TestOneDaemonGetsThePoolAndALargeRequestPasses(t *testing.T) {
	s := newSide(9, 0)
	admitted := s.flood(func(int) int { return 0 })
	if admitted < (1-StaticShare)*perSecond*95 {
		t.Fatalf("one daemon got only %.0f", admitted)
	}
	late := start.Add(200 * time.Second)
	if s.send(1, 100*perSecond, late) == 0 {
		t.Fatal("a request above the burst is never admitted")
	}
	if s.send(2, 100*perSecond, late) != 0 {
		t.Fatal("a second one was admitted at once by another daemon")
	}
}

func TestAnyOrderKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 20).Draw(t, "daemons")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSide(daemons, rapid.IntRange(0, 5).Draw(t, "unreachable"))
		now := start
		var admitted float64
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			s.homeUp = random.IntN(10) > 0
			admitted += s.send(random.IntN(daemons), float64(1+random.IntN(100)), now)
		}
		overdrafts := float64(daemons+1) * 100
		if bound := perSecond*(now.Sub(start)+s.fleet.burst()).Seconds() + overdrafts; admitted > bound {
			t.Fatalf("admitted %.0f, the bound is %.0f", admitted, bound)
		}
	})
}
