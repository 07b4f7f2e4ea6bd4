// Package verdict says whether a request may have run, and why it was refused
// or failed.
//
// Every error between a target's connection and the caller's answer carries a
// Verdict. The contract has one rule: NotRun is a proof. A layer may return
// NotRun only if no byte of the request was handed to a socket, or if the
// target itself refused it in words that mean it was not run. Everything else
// is MayHaveRun. A layer that wraps an error never weakens its verdict; Join
// keeps the strongest claim that a request may have run.
package verdict

// Verdict says whether a request may have run at a target.
type Verdict uint8

const (
	// NotRun is proof that no target ran any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that nobody can tell whether a target ran the request.
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

// Parse returns the verdict with the given name. An unknown name is
// MayHaveRun, the only safe reading of a word from a newer release.
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

// Join returns the verdict of a request that consists of two attempts or
// parts: it ran if either ran, and may have run if either may have.
func Join(a, b Verdict) Verdict {
	return max(a, b)
}

// MayRepeat reports whether another attempt is safe: always for an idempotent
// request, and only with proof that the first did not run for any other.
func MayRepeat(v Verdict, idempotent bool) bool {
	return idempotent || v == NotRun
}
