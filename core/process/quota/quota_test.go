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
	quotaPerSecond = 1000.0
	requestTokens  = 50.0
)

// side is the daemons on one side of a partition, with one home.
type side struct {
	home   *Home
	locals []*Local
	fleet  Fleet
	// homeUp is false while the home does not answer.
	homeUp bool
}

func newSide(daemons, unreachable int) *side {
	s := &side{home: NewHome(), homeUp: true, fleet: Fleet{Live: daemons, Unreachable: unreachable}}
	for range daemons {
		s.locals = append(s.locals, NewLocal())
	}
	return s
}

// send makes one request at a daemon and returns the number of tokens admitted.
func (s *side) send(daemon int, tokens float64, now time.Time) float64 {
	l := s.locals[daemon]
	d := l.Admit("c", quotaPerSecond, tokens, s.fleet, now)
	if d.Outcome == AskHome && s.homeUp {
		d = l.ApplyGrant("c", quotaPerSecond, tokens, s.home.Grant(names.Host(strconv.Itoa(daemon)), "c", quotaPerSecond, d.Tokens, s.fleet, now), s.fleet, now)
	} else if d.Outcome == AskHome {
		d = l.DecideWithoutHome("c", quotaPerSecond, tokens, s.fleet, now)
	}
	if d.Outcome == Admitted {
		return tokens
	}
	return 0
}

// flood sends requests at ten times the quota for floodTime and returns the
// number of tokens admitted. pick returns the daemon that receives request i.
func (s *side) flood(pick func(i int) int) float64 {
	const rate = 200
	var admitted float64
	for i := range int(floodTime.Seconds()) * rate {
		now := start.Add(time.Duration(i) * time.Second / rate)
		admitted += s.send(pick(i), requestTokens, now)
	}
	return admitted
}

var start = time.Unix(1000, 0)

const floodTime = 100 * time.Second

func init() {
	_ = flag.Set("rapid.seed", "1") // makes the generated cases reproducible
}

// TestQuotaIsNotMultipliedByDaemons guards against a customer getting its quota
// from each daemon. It sends ten times the quota to fleets of several sizes.
// Independent daemons that each apply the whole quota exceed the bound.
func TestQuotaIsNotMultipliedByDaemons(t *testing.T) {
	for _, daemons := range []int{1, 3, 9, 50} {
		s := newSide(daemons, 0)
		bound := quotaPerSecond*(floodTime+s.fleet.burstTime()).Seconds() + requestTokens
		admitted := s.flood(func(i int) int { return i % daemons })
		if admitted > bound {
			t.Errorf("%d daemons admitted %.0f tokens, want at most %.0f", daemons, admitted, bound)
		}
		if admitted < 0.95*quotaPerSecond*floodTime.Seconds() {
			t.Errorf("%d daemons admitted only %.0f tokens, want at least 95%% of the quota", daemons, admitted)
		}
		independent := 0.0
		for range daemons {
			independent += newSide(1, 0).flood(func(int) int { return 0 })
		}
		if daemons > 1 && independent <= bound {
			t.Errorf("%d independent daemons stayed within the bound: %.0f tokens", daemons, independent)
		}
	}
}

func TestSidesOfPartitionShareOneQuota(t *testing.T) {
	small, large := newSide(3, 6), newSide(6, 3)
	admitted := small.flood(func(i int) int { return i % 3 })
	admitted += large.flood(func(i int) int { return i % 6 })
	if bound := quotaPerSecond*(floodTime+BurstTime).Seconds() + 2*requestTokens; admitted > bound {
		t.Fatalf("admitted %.0f tokens, want at most %.0f", admitted, bound)
	}
}

func TestUnreachableHomeLeavesStaticPart(t *testing.T) {
	s := newSide(9, 0)
	s.homeUp = false
	admitted := s.flood(func(i int) int { return i % 9 })
	static := StaticShare * quotaPerSecond * floodTime.Seconds()
	if admitted < 0.95*static || admitted > 1.2*static+9*requestTokens {
		t.Fatalf("admitted %.0f tokens, the static part is %.0f", admitted, static)
	}
}

func TestSingleDaemonUsesPoolAndLargeRequestIsAdmitted(t *testing.T) {
	s := newSide(9, 0)
	admitted := s.flood(func(int) int { return 0 })
	if admitted < (1-StaticShare)*quotaPerSecond*95 {
		t.Fatalf("one daemon admitted only %.0f tokens", admitted)
	}
	late := start.Add(200 * time.Second)
	if s.send(1, 100*quotaPerSecond, late) == 0 {
		t.Fatal("a request larger than the burst was not admitted")
	}
	if s.send(2, 100*quotaPerSecond, late) != 0 {
		t.Fatal("another daemon admitted a second large request immediately")
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
		if bound := quotaPerSecond*(now.Sub(start)+s.fleet.burstTime()).Seconds() + overdrafts; admitted > bound {
			t.Fatalf("admitted %.0f tokens, want at most %.0f", admitted, bound)
		}
	})
}
