package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Kinds of prompts in the workload, by length; in the usual mix 1 k to 8 k, 8 k
// to 100 k and over 100 k tokens. They are the measurement's own and do not follow the
// policy's classes.
const (
	shortPrompt = iota
	mediumPrompt
	longPrompt
	spanPrompt // over one engine's memory; not in any mix
	kinds
)

// mix is a distribution of prompt lengths.
type mix struct {
	name string
	// lengths are the bounds of each kind, in tokens; within them prompts
	// are distributed evenly by logarithm.
	lengths [spanPrompt][2]float64
	// share is each kind's part of the prompts.
	share [spanPrompt]float64
}

// usual is the mix of the users: one prompt in fifty is long.
func usual() mix {
	return mix{
		name:    "usual mix",
		lengths: [spanPrompt][2]float64{{1000, 8000}, {8000, 100_000}, {100_000, 440_000}},
		share:   [spanPrompt]float64{0.80, 0.18, 0.02},
	}
}

// heavy has few short prompts.
func heavy() mix {
	m := usual()
	m.name = "one short prompt in ten"
	m.share = [spanPrompt]float64{0.10, 0.70, 0.20}
	return m
}

// Answers and patience.
const (
	answerMin, answerMax = 20, 200
	// tokenPatience is what a caller allows for each token of the answer.
	tokenPatience = 90 * time.Millisecond
	// basePatience is what a caller allows for any prompt, and
	// prefillPatience how many times the prompt's own prefill it allows
	// besides.
	basePatience    = 5 * time.Second
	prefillPatience = 3
	// The same of an impatient caller.
	hurryPatience = 500 * time.Millisecond
	hurryPrefills = 1.2
	hurryToken    = 62 * time.Millisecond
)

// job is what a caller wants.
type job struct {
	at       time.Duration
	kind     int
	customer names.Customer
	prompt   int
	answer   int
	// hurry makes the caller impatient.
	hurry bool
	// digests are those of the prompt's prefixes.
	digests []uint64
}

func (j *job) tokens() int { return j.prompt + j.answer }

// unloaded is the time to the first token at an idle engine.
func (j *job) unloaded() time.Duration {
	full, rest := j.prompt/chunkTokens, j.prompt%chunkTokens
	t := 2*oneWay + time.Duration(full)*stepTime(chunkTokens, 0)
	if rest > 0 {
		t += stepTime(rest, 0)
	}
	return t
}

// Bounds on the time to the first token.
const (
	firstTokenTime  = 1900 * time.Millisecond
	firstTokenRatio = 1.3
)

// firstTokenBound is the time within which the first token should come: a
// constant, or in relation to an idle engine if that alone takes long.
func (j *job) firstTokenBound() time.Duration {
	return max(firstTokenTime, time.Duration(firstTokenRatio*float64(j.unloaded())))
}

// patience is the time within which the caller needs the whole answer.
func (j *job) patience() time.Duration {
	if j.kind == spanPrompt {
		return spanPatience
	}
	if j.hurry {
		return hurryPatience + time.Duration(hurryPrefills*float64(j.unloaded())) + time.Duration(j.answer)*hurryToken
	}
	prefill := time.Duration(j.prompt) * prefillTokenTime
	return basePatience + prefillPatience*prefill + time.Duration(j.answer)*tokenPatience
}

// phase is a time with a constant rate of arrivals.
type phase struct {
	length time.Duration
	rate   float64 // jobs a second
}

// tenant is a customer with its part of the arrivals.
type tenant struct {
	name names.Customer
	part float64
}

// jobs draws a workload: Poisson arrivals in phases.
func jobs(m mix, seed uint64, phases []phase, tenants []tenant) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []job
	var start time.Duration
	for _, p := range phases {
		at := start
		for p.rate > 0 {
			at += time.Duration(random.ExpFloat64() / p.rate * float64(time.Second))
			if at >= start+p.length {
				break
			}
			list = append(list, drawJob(m, random, at, tenants))
		}
		start += p.length
	}
	slices.SortStableFunc(list, func(a, b job) int { return cmp.Compare(a.at, b.at) })
	return list
}

func drawJob(m mix, random *rand.Rand, at time.Duration, tenants []tenant) job {
	kind := pick(random, m.share[:])
	low, high := math.Log(m.lengths[kind][0]), math.Log(m.lengths[kind][1])
	parts := make([]float64, len(tenants))
	for i, t := range tenants {
		parts[i] = t.part
	}
	return job{
		at:       at,
		kind:     kind,
		prompt:   int(math.Exp(low + random.Float64()*(high-low))),
		answer:   answerMin + random.IntN(answerMax-answerMin),
		customer: tenants[pick(random, parts)].name,
	}
}

func pick(random *rand.Rand, parts []float64) int {
	var total float64
	for _, p := range parts {
		total += p
	}
	draw := random.Float64() * total
	for i, p := range parts {
		draw -= p
		if draw < 0 {
			return i
		}
	}
	return len(parts) - 1
}

// onlyKind keeps the jobs of one kind.
func onlyKind(list []job, kind int) []job {
	return slices.DeleteFunc(slices.Clone(list), func(j job) bool { return j.kind != kind })
}

// onlyCustomer keeps the jobs of one customer.
func onlyCustomer(list []job, c names.Customer) []job {
	return slices.DeleteFunc(slices.Clone(list), func(j job) bool { return j.customer != c })
}
