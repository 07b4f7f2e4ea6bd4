package measure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is what became of one request.
type Sample struct {
	// Request names the request, Limit is its time.
	Request string
	Limit   time.Duration
	// At is when it should have been sent, from the start of the run.
	At    time.Duration
	Class string
	Crest bool
	// Short marks the class whose first tokens the timeline shows.
	Short bool
	// Late is how much later it was sent.
	Late time.Duration
	// Whole is set if the answer came whole; else Verdict and Code say why
	// not.
	Whole   bool
	Verdict verdict.Verdict
	Code    string
	// FirstToken and Total are measured from when it should have been sent;
	// zero FirstToken means that none came.
	FirstToken time.Duration
	Total      time.Duration
	InterToken []time.Duration
	Sends      int
	Resumes    int
	// Wrong is set if a token was lost, repeated or another answer's.
	Wrong bool
	// Overdue is set if the request ended after its time.
	Overdue bool
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	groups   map[groupKey]*collected
	lateness *hdrhistogram.Histogram
	timeline []Second
	requests int
	checks   Checks
	broken   []Broken
}

type groupKey struct {
	class string
	phase string
}

type outcomeKey struct {
	verdict string
	code    string
}

// collected is a group while it is recorded.
type collected struct {
	offered    int
	whole      int
	sends      int
	resumes    int
	outcomes   map[outcomeKey]int
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{groups: map[groupKey]*collected{}, lateness: newHistogram()}
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	record(r.lateness, s.Late)
	r.addToGroup(groupKey{s.Class, AllPhases}, s)
	if s.Crest {
		r.addToGroup(groupKey{s.Class, Crest}, s)
	}
	r.addToTimeline(s)
	if s.Wrong {
		r.checks.WrongTokens++
	}
	if s.Overdue {
		r.checks.Overdue++
	}
	if (s.Wrong || s.Overdue) && len(r.broken) < MaxBroken {
		r.broken = append(r.broken, s.asBroken())
	}
}

func (s Sample) asBroken() Broken {
	return Broken{
		Request: s.Request, Class: s.Class, Wrong: s.Wrong, Verdict: s.Verdict.String(), Code: s.Code,
		AtMS: asMillis(s.At), TotalMS: asMillis(s.Total), LimitMS: asMillis(s.Limit),
	}
}

func asMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Fill puts what was recorded into a result.
func (r *Recorder) Fill(result *Result) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if result.Lateness, err = summarise(r.lateness); err != nil {
		return err
	}
	result.Requests = r.requests
	result.Timeline = slices.Clone(r.timeline)
	result.Broken = slices.Clone(r.broken)
	result.Checks.WrongTokens = r.checks.WrongTokens
	result.Checks.Overdue = r.checks.Overdue
	for key, c := range r.groups {
		group, err := c.group(key)
		if err != nil {
			return err
		}
		result.Groups = append(result.Groups, group)
	}
	slices.SortFunc(result.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Class, b.Class))
	})
	return nil
}

func (r *Recorder) addToGroup(key groupKey, s Sample) {
	c, ok := r.groups[key]
	if !ok {
		c = &collected{
			outcomes:   map[outcomeKey]int{},
			firstToken: newHistogram(),
			interToken: newHistogram(),
			total:      newHistogram(),
		}
		r.groups[key] = c
	}
	c.add(s)
}

func (c *collected) add(s Sample) {
	c.offered++
	c.sends += s.Sends
	c.resumes += s.Resumes
	c.outcomes[outcomeKey{s.Verdict.String(), s.Code}]++
	if s.FirstToken > 0 {
		record(c.firstToken, s.FirstToken)
	}
	for _, gap := range s.InterToken {
		record(c.interToken, gap)
	}
	if s.Whole {
		c.whole++
		record(c.total, s.Total)
	}
}

func (c *collected) group(key groupKey) (Group, error) {
	g := Group{
		Class: key.class, Phase: key.phase, Offered: c.offered, Whole: c.whole, Sends: c.sends, Resumes: c.resumes,
	}
	for k, count := range c.outcomes {
		g.Outcomes = append(g.Outcomes, Outcome{Verdict: k.verdict, Code: k.code, Count: count})
	}
	slices.SortFunc(g.Outcomes, func(a, b Outcome) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict))
	})
	var err error
	if g.FirstToken, err = summarise(c.firstToken); err != nil {
		return g, err
	}
	if g.InterToken, err = summarise(c.interToken); err != nil {
		return g, err
	}
	g.Total, err = summarise(c.total)
	return g, err
}

func (r *Recorder) addToTimeline(s Sample) {
	second := int(s.At / time.Second)
	for len(r.timeline) <= second {
		r.timeline = append(r.timeline, Second{})
	}
	entry := &r.timeline[second]
	entry.Offered++
	switch {
	case s.Whole:
		entry.Whole++
	case s.Verdict == verdict.NotRun:
		entry.NotRun++
	default:
		entry.Failed++
	}
	if s.Short {
		entry.WorstFirstTokenMS = max(entry.WorstFirstTokenMS, asMillis(s.FirstToken))
	}
}
