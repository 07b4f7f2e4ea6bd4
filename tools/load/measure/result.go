package measure

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Result is the result of a run.
type Result struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Label    string  `json:"label"`
	Speedup  float64 `json:"speedup"`
	// Seconds is the duration of the schedule.
	Seconds     float64 `json:"seconds"`
	Requests    int     `json:"requests"`
	MaxInFlight int     `json:"max_in_flight"`
	// Lateness is the delay between the scheduled and the actual send times. It
	// shows whether the load tool was overloaded.
	Lateness Latency `json:"lateness"`
	// Groups are statistics of requests by class and phase, sorted by phase.
	Groups []Group `json:"groups"`
	// Timeline counts requests by second of scheduled arrival.
	Timeline []Second `json:"timeline"`
	Checks   Checks   `json:"checks"`
	// Violations are the first MaxViolations requests that had wrong tokens or were
	// overdue.
	Violations []Violation `json:"broken"`
}

// MaxViolations bounds Result.Violations.
const MaxViolations = 100

// Violation is a request that had wrong tokens or was overdue.
type Violation struct {
	Request     string  `json:"request"`
	Class       string  `json:"class"`
	AtMS        float64 `json:"at_ms"`
	TotalMS     float64 `json:"total_ms"`
	TimeoutMS   float64 `json:"limit_ms"`
	WrongTokens bool    `json:"wrong"`
	Verdict     string  `json:"verdict"`
	Code        string  `json:"code"`
}

// Phases of a group.
const (
	// AllPhases contains all requests of the run.
	AllPhases = "all"
	// PeakPhase contains the requests that arrived while a swing raised the
	// arrival rate.
	PeakPhase = "crest"
)

// Group summarises the requests of a class in a phase.
type Group struct {
	Class    string    `json:"class"`
	Phase    string    `json:"phase"`
	Offered  int       `json:"offered"`
	Complete int       `json:"whole"`
	Outcomes []Outcome `json:"outcomes"`
	// Retries counts attempts after the first, Resumes those of them that resumed
	// a stream.
	Retries    int     `json:"sends"`
	Resumes    int     `json:"resumes"`
	FirstToken Latency `json:"first_token"`
	InterToken Latency `json:"inter_token"`
	// Total is the latency of complete answers, to their end.
	Total Latency `json:"total"`
}

// Outcome counts requests that ended with the same verdict and code. Code is
// empty for complete answers.
type Outcome struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Count   int    `json:"count"`
}

// Second counts the results of the requests scheduled in one second.
type Second struct {
	Offered  int `json:"offered"`
	Complete int `json:"whole"`
	// NotRun counts requests that were refused, or failed and certainly did not
	// run.
	NotRun int `json:"not_run"`
	Failed int `json:"failed"`
	// WorstFirstTokenMS is the highest first-token latency of the workload's
	// first class, in milliseconds.
	WorstFirstTokenMS float64 `json:"worst_first_token_ms"`
}

// Checks counts violations of the service guarantees. WrongTokens and Overdue
// are detected by the caller, the others from the records of the stand-ins.
type Checks struct {
	// CallsChecked is set if the calls were compared with the stand-ins' records.
	CallsChecked bool `json:"ran"`
	// WrongTokens counts answers with a token that was lost, repeated or belongs
	// to another request.
	WrongTokens int `json:"wrong_tokens"`
	// Overdue counts requests that ended too long after their timeout.
	Overdue int `json:"overdue"`
	// RepeatedCalls counts calls that must not run twice but did.
	RepeatedCalls int `json:"repeated_calls"`
	// FalselyNotRun counts calls that ran although the caller got the verdict "not
	// run".
	FalselyNotRun int `json:"false_not_run"`
	// FalselyAnswered counts calls that were answered although they did not run.
	FalselyAnswered int `json:"false_whole"`
	// LeakedBlocks, LeakedHandles and LeakedStreams count the resources that engines
	// had not released by the end of the settle time after the run.
	LeakedBlocks  int `json:"left_blocks"`
	LeakedHandles int `json:"left_handles"`
	LeakedStreams int `json:"left_streams"`
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

// Save writes the result to a file as JSON.
func (r *Result) Save(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(text, '\n'), 0o644))
}

// ReadResult reads a result from a file that Save wrote.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var r Result
	return &r, errors.Wrap(json.Unmarshal(text, &r), path)
}
