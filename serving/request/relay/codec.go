// Package relay forwards callers' requests to targets along the published
// routes, and returns the answers unchanged.
//
// A Codec parses and builds the headers of requests and answers. The package
// itself finds the route of a request, places it, sends it, retries it where that
// is safe and useful, resumes an interrupted stream, and answers the caller once.
package relay

import (
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// RequestInfo is what a Codec parses from the header of a caller's request.
type RequestInfo struct {
	// ID identifies the request in logs and answers.
	ID string
	// Credential is the caller's key; empty if the request has none.
	Credential string
	// Timeout is how long the caller waits for the answer; zero if not
	// specified.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and AnswerTokens the maximum
	// length of the answer, in tokens. Both are zero if the caller specifies
	// none, as for calls without a prompt.
	PromptTokens int
	AnswerTokens int
	// AnswerHint is the caller's estimate of the answer's length in tokens; zero if it
	// gives none.
	AnswerHint int
	// Parts are the IDs of the parts of the prompt that other requests may share,
	// in order. The last part of a prompt is not among them.
	Parts []string
}

// Attempt describes one send of a request. OutgoingHeader adds these values to a
// copy of the caller's header.
type Attempt struct {
	Target   names.Target
	Customer names.Customer
	// TimeLeft is how long the target may work on the request.
	TimeLeft time.Duration
	// Priority is requested from an engine, from 0 (highest) to 9.
	Priority int
	// HasPrompt reports whether the request has a prompt, so that Priority
	// applies.
	HasPrompt bool
	// Helpers are the engines that prefill parts of the prompt.
	Helpers []HelperAddress
	// ResumeAfter is the ID of the last event that the caller has; empty if
	// none.
	ResumeAfter string
}

// HelperAddress is the address of a helper and the reservation under which the
// helper holds memory for its part of the prompt. Reservation is empty if no memory
// is reserved at the helper.
type HelperAddress struct {
	Address     string
	Reservation string
}

// Reply is what a Codec parses from the header of a target's answer.
type Reply struct {
	// NotRun reports whether the target refused the request without running it.
	NotRun bool
	// WrongTarget reports whether the address to which the request was sent
	// belongs to another target than the one that the request names.
	WrongTarget bool
	// FaultAddress is the address of the helper that caused the failure; empty
	// if the answer names none.
	FaultAddress string
	// Requests is the number of requests running and waiting at the target; nil
	// if the target does not report it.
	Requests *int
	// Sealed reports whether the answer carries a seal, which shows that a
	// target ran the request, and is not encoded. An encoded answer is not the
	// one that the target sent.
	Sealed bool
	// Statement is what the answering target says about itself; zero if it says
	// nothing.
	Statement Statement
}

// Statement is what a target says about itself in an answer to any request. It holds
// for all requests, also if the answer belongs to none.
type Statement struct {
	// Leaving reports whether the target is about to exit.
	Leaving bool
	// RetryAfter is the time for which the target wants no request from this daemon;
	// zero if it states none.
	RetryAfter time.Duration
	// RetryAfterInvalid reports whether the target states a time that cannot be read or
	// is negative.
	RetryAfterInvalid bool
	// Limit is the limit that the target names; zero if it names none. Only the answer to
	// the request itself says which limit is in force.
	Limit Limit
	// Cold is what the target says about its warm-up.
	Cold Cold
}

// Cold is what a target says about its warm-up.
type Cold struct {
	// Stated reports whether the target says anything, and Left how much longer it is
	// cold; zero if it is warm.
	Stated bool
	Left   time.Duration
}

// Limit is the rate of requests that a target takes from all daemons together.
type Limit struct {
	// Named reports whether the target names a limit, and Rate is it in requests per
	// second, which may be zero.
	Named bool
	Rate  float64
	// Invalid reports whether the target names a limit that cannot be read or is
	// negative. It neither sets nor lifts one.
	Invalid bool
}

// Codec parses and builds the headers of callers and targets.
type Codec interface {
	// ParseRequest parses the header of a caller's request.
	ParseRequest(r *http.Request) (RequestInfo, error)
	// OutgoingHeader returns the header to send to the target in an attempt.
	OutgoingHeader(r *http.Request, a *Attempt) http.Header
	// MatchesRequest reports whether an answer belongs to a request. reused is
	// true if its connection carried an earlier request: an answer that names
	// no request may then belong to that one.
	MatchesRequest(response *http.Response, info *RequestInfo, reused bool) bool
	// ParseReply parses the header of a target's answer. It removes what is
	// addressed to this daemon and is not to be forwarded.
	ParseReply(response *http.Response) Reply
	// Refuse sets the header of the answer to a request that was refused or
	// failed with err, also after it ran, and returns the HTTP status of the
	// answer.
	Refuse(h http.Header, info *RequestInfo, err *verdict.Error) int
}
