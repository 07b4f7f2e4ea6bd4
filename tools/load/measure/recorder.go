package measure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sample is the result of one request.
type Sample struct {
	// Request is the name of the request.
	Request string
	// Timeout is the time from At within which the request must end.
	Timeout time.Duration
	// At is the scheduled time of the request since the start of the run.
	At    time.Duration
	Class string
	// Peak is set if a swing raised the arrival rate at that time.
	Peak bool
	// FirstTokenInTimeline is set for the class whose first-token latency the
	// timeline shows.
	FirstTokenInTimeline bool
	// Lateness is the delay between the scheduled and the actual send time.
	Lateness time.Duration
	// Complete is set if the answer is complete; otherwise Verdict and Code are
	// those of the failure.
	Complete bool
	Verdict  verdict.Verdict
	Code     string
	// FirstToken and Total are measured from the scheduled time. FirstToken is
	// zero if no token arrived.
	FirstToken time.Duration
	Total      time.Duration
	InterToken []time.Duration
	Retries    int
	Resumes    int
	// WrongTokens is set if a token was lost, repeated or belongs to another
	// request.
	WrongTokens bool
	// Overdue is set if the request ended too long after its timeout.
	Overdue bool
}

// Recorder collects samples. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	groups     map[groupKey]*groupStats
	lateness   *hdrhistogram.Histogram
	timeline   []Second
	requests   int
	checks     Checks
	violations []Violation
}

type groupKey struct {
	class string
	phase string
}

type outcomeKey struct {
	verdict string
	code    string
}

// groupStats collects the samples of a group.
type groupStats struct {
	offered    int
	complete   int
	retries    int
	resumes    int
	outcomes   map[outcomeKey]int
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{groups: map[groupKey]*groupStats{}, lateness: newHistogram()}
}

// Add records a sample.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	record(r.lateness, s.Lateness)
	r.addToGroup(groupKey{s.Class, AllPhases}, s)
	if s.Peak {
		r.addToGroup(groupKey{s.Class, PeakPhase}, s)
	}
	r.addToTimeline(s)
	if s.WrongTokens {
		r.checks.WrongTokens++
	}
	if s.Overdue {
		r.checks.Overdue++
	}
	if (s.WrongTokens || s.Overdue) && len(r.violations) < MaxViolations {
		r.violations = append(r.violations, s.violation())
	}
}

func (s Sample) violation() Violation {
	return Violation{
		Request: s.Request, Class: s.Class, WrongTokens: s.WrongTokens, Verdict: s.Verdict.String(), Code: s.Code,
		AtMS: durationMillis(s.At), TotalMS: durationMillis(s.Total), TimeoutMS: durationMillis(s.Timeout),
	}
}

func durationMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Fill sets the fields of a result that are computed from samples. The result
// must have no groups yet, as Fill appends to them.
func (r *Recorder) Fill(result *Result) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var err error
	if result.Lateness, err = summarise(r.lateness); err != nil {
		return err
	}
	result.Requests = r.requests
	result.Timeline = slices.Clone(r.timeline)
	result.Violations = slices.Clone(r.violations)
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
		c = &groupStats{
			outcomes:   map[outcomeKey]int{},
			firstToken: newHistogram(),
			interToken: newHistogram(),
			total:      newHistogram(),
		}
		r.groups[key] = c
	}
	c.add(s)
}

func (c *groupStats) add(s Sample) {
	c.offered++
	c.retries += s.Retries
	c.resumes += s.Resumes
	c.outcomes[outcomeKey{s.Verdict.String(), s.Code}]++
	if s.FirstToken > 0 {
		record(c.firstToken, s.FirstToken)
	}
	for _, gap := range s.InterToken {
		record(c.interToken, gap)
	}
	if s.Complete {
		c.complete++
		record(c.total, s.Total)
	}
}

func (c *groupStats) group(key groupKey) (Group, error) {
	g := Group{
		Class: key.class, Phase: key.phase, Offered: c.offered, Complete: c.complete, Retries: c.retries, Resumes: c.resumes,
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
	case s.Complete:
		entry.Complete++
	case s.Verdict == verdict.NotRun:
		entry.NotRun++
	default:
		entry.Failed++
	}
	if s.FirstTokenInTimeline {
		entry.WorstFirstTokenMS = max(entry.WorstFirstTokenMS, durationMillis(s.FirstToken))
	}
}
