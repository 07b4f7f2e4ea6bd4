package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
)

// sizes are the fleets of both users, each with both kinds of engines.
func sizes() []size {
	sahayatri := size{name: "Sahayatri", engines: 15, daemons: 8, mix: usual()}
	tuuraj := size{name: "Tuuraj", engines: 25, daemons: 9, mix: usual()}
	return []size{sahayatri, sahayatri.withWhole(), tuuraj, tuuraj.withWhole()}
}

func (s size) withMix(m mix) size {
	s.mix = m
	return s
}

func (s size) withWhole() size {
	s.whole = true
	return s
}

// Lengths of the runs.
const (
	steadyTime  = 240 * time.Second
	crowdTime   = 120 * time.Second
	warmTime    = 30 * time.Second
	crestTime   = 120 * time.Second
	spikeTime   = 10 * time.Second
	recoverTime = 60 * time.Second
	// steadyLoad is the load of the slowdown experiment, as a share of
	// capacity.
	steadyLoad = 0.6
)

// tenTenants are ten customers, three of them large.
func tenTenants() []tenant {
	list := make([]tenant, 10)
	for i := range list {
		list[i] = tenant{name: names.Customer("customer" + strconv.Itoa(i)), part: 1}
	}
	for i := range 3 {
		list[i].part = 5
	}
	return list
}

// capacity is the throughput of one engine that always has work, in tokens a
// second, and the same in jobs of the mix.
func capacity(m mix, seed uint64) (tokens, perSecond float64) {
	list := jobs(m, seed, []phase{{length: time.Second, rate: 400}}, tenTenants())
	c := newClock()
	e := newEngine(c, "", false)
	done, sum := 0, 0
	var last time.Time
	for i := range list {
		j := &list[i]
		s := &stream{id: strconv.Itoa(i), prompt: j.prompt, answer: j.answer, first: func() {}}
		s.end = func() {
			done++
			sum += j.tokens()
			last = c.now
		}
		e.submit(s)
	}
	start := c.now
	c.run(start.Add(time.Hour))
	elapsed := last.Sub(start).Seconds()
	return float64(sum) / elapsed, float64(done) / elapsed
}

// jobRate is the rate of arrivals that is a share of the fleet's capacity.
func (s size) jobRate(share float64, seed uint64) float64 {
	_, perSecond := capacity(s.mix, seed)
	return share * perSecond * float64(s.engines)
}

// steady is a constant load.
func steady(s size, share float64, seed uint64) []job {
	return jobs(s.mix, seed, []phase{{length: steadyTime, rate: s.jobRate(share, seed)}}, tenTenants())
}

// crest is a load of 0.6, then of 2, then of 0.6 of the capacity.
func crest(s size, seed uint64) []job {
	low, high := s.jobRate(0.6, seed), s.jobRate(2, seed)
	return jobs(s.mix, seed, []phase{
		{length: warmTime, rate: low},
		{length: crestTime, rate: high},
		{length: recoverTime, rate: low},
	}, tenTenants())
}

// spike is a load of 0.6, of five times that for ten seconds, and of 0.6.
func spike(s size, seed uint64) []job {
	low := s.jobRate(0.6, seed)
	return jobs(s.mix, seed, []phase{
		{length: warmTime, rate: low},
		{length: spikeTime, rate: 5 * low},
		{length: recoverTime, rate: low},
	}, tenTenants())
}

// Customers of crowd.
const (
	smallCustomer names.Customer = "small"
	largeCustomer names.Customer = "large"
)

// crowd is a customer within its share beside one that asks for ten times as
// much; together they are over capacity.
func crowd(s size, seed uint64) []job {
	return jobs(s.mix, seed, []phase{{length: crowdTime, rate: s.jobRate(2.2, seed)}}, []tenant{
		{name: smallCustomer, part: 1}, {name: largeCustomer, part: 10},
	})
}

// impatient is a load a little over capacity whose callers allow little more
// time than an idle engine takes.
func impatient(s size, seed uint64) []job {
	list := jobs(s.mix, seed, []phase{{length: crowdTime, rate: s.jobRate(1.2, seed)}}, tenTenants())
	for i := range list {
		list[i].hurry = true
	}
	return list
}

// repeating is a load just under capacity in which half the prompts begin with
// one of two texts of their customer, for up to all of their length.
func repeating(s size, seed uint64) []job {
	list := jobs(s.mix, seed, []phase{{length: steadyTime, rate: s.jobRate(repeatLoad, seed)}}, tenTenants())
	random := rand.New(rand.NewPCG(seed, 3))
	for i := range list {
		text := uint64(i) + textsPerCustomer
		if random.IntN(2) == 0 {
			text = random.Uint64N(textsPerCustomer)
		}
		list[i].digests = digestsOf(&list[i], text)
	}
	return list
}

// Shape of repeating.
const (
	repeatLoad       = 0.9
	textsPerCustomer = 2
)

// digestsOf returns the digests of a prompt that begins with a text.
func digestsOf(j *job, text uint64) []uint64 {
	var digests []uint64
	for i := 0; prefix.TokensCovered(i) <= j.prompt; i++ {
		name := fmt.Sprint(j.customer, "/", text, "/", i)
		digests = append(digests, xxhash.Sum64String(name))
	}
	return digests
}

// Shape of spanning.
const (
	spanLoad     = 0.4
	spanInterval = 45 * time.Second
	spanTime     = 10 * time.Minute
	// spanTokens is a prompt of 2.2 engines' memory.
	spanTokens   = engineTokens * 22 / 10
	spanPatience = 4 * time.Minute
	killInterval = time.Minute
)

// spanning is a moderate load with a prompt over two engines' memory now and
// then.
func spanning(s size, seed uint64) []job {
	list := jobs(s.mix, seed, []phase{{length: spanTime, rate: s.jobRate(spanLoad, seed)}}, tenTenants())
	for at := spanInterval; at < spanTime; at += spanInterval {
		list = append(list, job{
			at: at, kind: spanPrompt, customer: tenTenants()[0].name, prompt: spanTokens, answer: answerMax,
		})
	}
	slices.SortStableFunc(list, func(a, b job) int { return cmp.Compare(a.at, b.at) })
	return list
}
