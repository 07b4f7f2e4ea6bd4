// Package relay passes callers' requests on to targets, by the published
// routes, and their answers back unchanged.
//
// The wire names of both sides are a Codec's matter. Relay itself knows routes,
// attempts and verdicts: one request is placed, sent, repeated where that is
// safe and worthwhile, resumed in the middle of a stream, and answered once.
package relay

import (
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// Facts are what a codec reads from a caller's request.
type Facts struct {
	// ID names the request in logs and in answers.
	ID string
	// Credential is the caller's key; empty if there is none.
	Credential string
	// Left is how long the caller waits; zero if it does not say.
	Left time.Duration
	// PromptTokens and AnswerTokens are zero for calls without a prompt.
	PromptTokens int
	AnswerTokens int
}

// Attempt is what a send tells the target, beside the caller's own request.
type Attempt struct {
	Target   names.Target
	Customer names.Customer
	// Left is how long the target may work.
	Left time.Duration
	// Priority is what to ask of an engine, 0 to 9, 0 first.
	Priority int
	// Prompt says that the request has a prompt, so that Priority applies.
	Prompt bool
	// Helpers read parts of the prompt.
	Helpers []HelperAddress
	// ResumeAfter is the last event that the caller has, empty for none.
	ResumeAfter string
}

// HelperAddress is where a helper is, and under which reservation it holds its
// part; the reservation may be empty.
type HelperAddress struct {
	Address     string
	Reservation string
}

// Reply is what a codec reads from the header of a target's answer.
type Reply struct {
	// NotRun says that the target refused without running the request.
	NotRun bool
	// Another says that the address belongs to another target.
	Another bool
	// At is the address of the target at fault, if it is not the one asked.
	At string
	// Requests is how many requests the target has, running and waiting, if
	// it tells.
	Requests *int
	// Whole says that the answer bears the mark of a target that ran it.
	Whole bool
}

// Codec knows the names on the wire.
type Codec interface {
	// Facts reads a caller's request.
	Facts(r *http.Request) (Facts, error)
	// Outgoing returns the header of an attempt.
	Outgoing(r *http.Request, a *Attempt) http.Header
	// Ours reports whether an answer belongs to a request.
	Ours(response *http.Response, f *Facts) bool
	// Reply reads a target's answer.
	Reply(response *http.Response) Reply
	// Refuse sets the header of an answer for an error and returns its
	// status.
	Refuse(h http.Header, f *Facts, err *verdict.Error) int
}
