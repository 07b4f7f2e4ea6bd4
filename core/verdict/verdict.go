// Package verdict defines the errors of requests. Each error states whether the
// request may have run and why it was refused or failed.
//
// Every error on the path from a target's connection to the caller's answer has
// a Verdict. The contract has one rule: NotRun is a proof. A layer may return
// NotRun only if no byte of the request was handed to a socket, or if the
// target itself refused the request with a response which means that it was not
// run. In all other cases it returns MayHaveRun, or Ran. A layer that wraps an
// error must not replace its verdict by one closer to NotRun; Join returns the
// verdict further from NotRun.
package verdict

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// NotRun is proof that no target ran any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether a target ran the request.
	MayHaveRun
	// Ran means that a target ran the request, in whole or in part.
	Ran
)

// String returns the name used in answers, logs and metrics.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse returns the verdict with the given name. An unknown name, for example
// from a newer release, is read as MayHaveRun, the only safe interpretation.
func Parse(name string) Verdict {
	switch name {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Join returns the verdict of a request with two attempts or parts: Ran if
// either ran, else MayHaveRun if either may have run.
func Join(a, b Verdict) Verdict {
	return max(a, b)
}

// MayRepeat reports whether another attempt is safe. It always is for an
// idempotent request; other requests require proof that the previous attempt did
// not run.
func MayRepeat(v Verdict, idempotent bool) bool {
	return idempotent || v == NotRun
}
