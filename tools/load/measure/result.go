package measure

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Result is what a run saw.
type Result struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Label    string  `json:"label"`
	Speedup  float64 `json:"speedup"`
	// Seconds is how long requests arrived.
	Seconds     float64 `json:"seconds"`
	Requests    int     `json:"requests"`
	MaxInFlight int     `json:"max_in_flight"`
	// Lateness is how late the tool itself sent requests.
	Lateness Latency `json:"lateness"`
	// Groups are the requests by class and phase.
	Groups []Group `json:"groups"`
	// Timeline is the run by second of arrival.
	Timeline []Second `json:"timeline"`
	Checks   Checks   `json:"checks"`
	// Broken are the requests with wrong tokens or an end after their time,
	// up to MaxBroken.
	Broken []Broken `json:"broken"`
}

// MaxBroken bounds Result.Broken.
const MaxBroken = 100

// Broken is a request whose promise was broken.
type Broken struct {
	Request string  `json:"request"`
	Class   string  `json:"class"`
	AtMS    float64 `json:"at_ms"`
	TotalMS float64 `json:"total_ms"`
	LimitMS float64 `json:"limit_ms"`
	Wrong   bool    `json:"wrong"`
	Verdict string  `json:"verdict"`
	Code    string  `json:"code"`
}

// Phases of a group.
const (
	// AllPhases is the whole run.
	AllPhases = "all"
	// Crest is what arrived while a swing raised the rate.
	Crest = "crest"
)

// Group is the requests of a class, in a phase.
type Group struct {
	Class    string    `json:"class"`
	Phase    string    `json:"phase"`
	Offered  int       `json:"offered"`
	Whole    int       `json:"whole"`
	Outcomes []Outcome `json:"outcomes"`
	// Sends counts sends beyond the first; Resumes those that went on with a
	// stream.
	Sends      int     `json:"sends"`
	Resumes    int     `json:"resumes"`
	FirstToken Latency `json:"first_token"`
	InterToken Latency `json:"inter_token"`
	// Total is the time of whole answers.
	Total Latency `json:"total"`
}

// Outcome counts requests that ended alike. Code is empty for whole answers.
type Outcome struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Count   int    `json:"count"`
}

// Second is what became of the requests that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
	// NotRun was refused or failed with proof that it did not run.
	NotRun int `json:"not_run"`
	Failed int `json:"failed"`
	// WorstFirstTokenMS is that of short-class requests, in milliseconds.
	WorstFirstTokenMS float64 `json:"worst_first_token_ms"`
}

// Checks counts broken promises, as the stand-ins' own records show them.
type Checks struct {
	// Ran is set if the stand-ins' records were read.
	Ran bool `json:"ran"`
	// WrongTokens counts answers with a token lost, repeated or of another
	// answer.
	WrongTokens int `json:"wrong_tokens"`
	// Overdue counts requests that ended after their time.
	Overdue int `json:"overdue"`
	// RepeatedCalls counts calls that may not be repeated and ran twice.
	RepeatedCalls int `json:"repeated_calls"`
	// FalseNotRun counts calls that ran and whose caller was told "not run".
	FalseNotRun int `json:"false_not_run"`
	// FalseWhole counts calls that did not run and were answered.
	FalseWhole int `json:"false_whole"`
	// LeftBlocks, LeftHandles and LeftStreams are what the engines still held
	// when the run had ended.
	LeftBlocks  int `json:"left_blocks"`
	LeftHandles int `json:"left_handles"`
	LeftStreams int `json:"left_streams"`
}

// Find returns the group of a class and phase, or nil.
func (r *Result) Find(class, phase string) *Group {
	for i := range r.Groups {
		if r.Groups[i].Class == class && r.Groups[i].Phase == phase {
			return &r.Groups[i]
		}
	}
	return nil
}

// Save writes a result as JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(text, '\n'), 0o644))
}

// Read reads a result.
func Read(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var r Result
	return &r, errors.Wrap(json.Unmarshal(text, &r), path)
}
