package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/tools/standin/engine"
)

// bytesPerToken is how much text a daemon takes for a token.
const bytesPerToken = 4

// Streams of random numbers that a seed gives.
const (
	arrivalStream = iota
	firstRequestStream
)

// Request is one arrival of a schedule.
type Request struct {
	// Index numbers the arrivals from zero.
	Index int
	// At is when it arrives, from the start of the run.
	At time.Duration
	// Crest is set while a swing raises the rate.
	Crest bool
	// Class is the class's name, or "call:" and a service's name.
	Class    string
	Customer Customer
	// Timeout is the time until the answer must be complete.
	Timeout time.Duration

	// Call is set for a call, whose body has CallBytes.
	Call *Call
	// PromptTokens and AnswerTokens are a generation's lengths.
	PromptTokens int
	AnswerTokens int
	Priority     int
	Model        names.Model
	// Prefix is the number of the customer's prefix that the prompt begins
	// with, or -1.
	Prefix int

	seed         uint64
	textTokens   int
	prefixTokens int
	crash        bool
}

// Schedule returns the arrivals of a run, in order.
func (w *Workload) Schedule() []Request {
	random := rand.New(rand.NewPCG(w.Seed, arrivalStream))
	highest := w.Rate * w.highestFactor()
	var schedule []Request
	at := 0.0
	for {
		at += random.ExpFloat64() / highest
		moment := time.Duration(at * float64(time.Second))
		if moment >= time.Duration(w.Duration) {
			return schedule
		}
		keep := random.Float64()
		factor := w.factor(moment)
		if keep*highest < w.Rate*factor {
			schedule = append(schedule, w.request(len(schedule), moment, factor > 1))
		}
	}
}

// Without returns a schedule without the requests of some classes. The others
// stay as they are.
func Without(schedule []Request, classes []string) []Request {
	left := make([]Request, 0, len(schedule))
	for _, r := range schedule {
		if !contains(classes, r.Class) {
			left = append(left, r)
		}
	}
	return left
}

func contains(list []string, word string) bool {
	for _, entry := range list {
		if entry == word {
			return true
		}
	}
	return false
}

func (w *Workload) highestFactor() float64 {
	highest := 1.0
	for _, s := range w.Swings {
		highest = max(highest, s.Factor)
	}
	return highest
}

// factor is that of the last swing which holds at a moment.
func (w *Workload) factor(at time.Duration) float64 {
	factor := 1.0
	for _, s := range w.Swings {
		if at >= time.Duration(s.At) && at < time.Duration(s.At+s.For) {
			factor = s.Factor
		}
	}
	return factor
}

func (w *Workload) request(index int, at time.Duration, crest bool) Request {
	random := rand.New(rand.NewPCG(w.Seed, firstRequestStream+uint64(index)))
	r := Request{
		Index: index, At: at, Crest: crest, Model: w.Model, Prefix: -1,
		Customer: w.Customers[w.pickCustomer(random)],
		seed:     w.Seed, textTokens: w.TextTokens, prefixTokens: w.Prefixes.Tokens,
	}
	kind := w.pickKind(random)
	if kind >= len(w.Classes) {
		r.call(&w.Calls[kind-len(w.Classes)])
		return r
	}
	r.generation(w.Classes[kind], random)
	if random.Float64() < w.Prefixes.Share {
		r.Prefix = random.IntN(w.Prefixes.PerCustomer)
	}
	return r
}

func (r *Request) call(c *Call) {
	r.Call = c
	r.Class = "call:" + string(c.Service)
	r.Timeout = time.Duration(c.Timeout)
}

func (r *Request) generation(c Class, random *rand.Rand) {
	r.Class = c.Name
	r.Timeout = time.Duration(c.Timeout)
	r.Priority = c.Priority
	r.crash = c.Crash
	r.PromptTokens = between(random, c.MinTokens, c.MaxTokens)
	r.AnswerTokens = between(random, c.MinAnswer, c.MaxAnswer)
}

// between draws evenly on a logarithmic scale.
func between(random *rand.Rand, low, high int) int {
	drawn := float64(low) * math.Pow(float64(high)/float64(low), random.Float64())
	return min(high, max(low, int(drawn)))
}

func (w *Workload) pickCustomer(random *rand.Rand) int {
	weights := make([]float64, len(w.Customers))
	for i, c := range w.Customers {
		weights[i] = c.Weight
	}
	return pick(random, weights)
}

// pickKind returns the number of a class or, after those, of a call.
func (w *Workload) pickKind(random *rand.Rand) int {
	weights := make([]float64, 0, len(w.Classes)+len(w.Calls))
	for _, c := range w.Classes {
		weights = append(weights, c.Share)
	}
	for _, c := range w.Calls {
		weights = append(weights, c.Share)
	}
	return pick(random, weights)
}

func pick(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	drawn := random.Float64() * total
	for i, weight := range weights {
		drawn -= weight
		if drawn < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Name names the request in the whole run.
func (r *Request) Name() string { return fmt.Sprintf("%d-%d", r.seed, r.Index) }

// Prompt returns the text of a generation's prompt: the shared prefix, words
// that no other request has, and filling up to the length that is sent.
func (r *Request) Prompt() string {
	size := min(r.PromptTokens, max(r.textTokens, 1)) * bytesPerToken
	var text strings.Builder
	if r.Prefix >= 0 {
		head := fmt.Sprintf("Form %d of %s. ", r.Prefix, r.Customer.Name)
		fill(&text, head, min(size, r.prefixTokens*bytesPerToken))
	}
	text.WriteString("\nRequest " + r.Name() + ". ")
	if r.crash {
		text.WriteString(engine.CrashTrigger)
	}
	fill(&text, "Please consider this. ", size)
	return text.String()
}

// Body returns the body of a call, which no other request has.
func (r *Request) Body() []byte {
	var text strings.Builder
	text.WriteString("Call " + r.Name() + ". ")
	fill(&text, "Please file this. ", r.Call.Bytes)
	return []byte(text.String())
}

// fill repeats words until the text has a size, in bytes.
func fill(text *strings.Builder, words string, size int) {
	for text.Len() < size {
		text.WriteString(words[:min(len(words), size-text.Len())])
	}
}
