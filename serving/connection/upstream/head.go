package upstream

import (
	"net/http"

	"github.com/pkg/errors"
)

// lastStatus is the highest status that HTTP has.
const lastStatus = 599

// CheckHead returns an error for the head of an answer that HTTP/1 does not have, or that no
// request of a daemon asks for: another version, a status outside of 100 to 599 (RFC 9110,
// section 15), or a change of protocols. http.ReadResponse takes all of these. What such a head
// states is not to be believed, and what follows it is no answer either.
func CheckHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return errors.Wrapf(errNoAnswer, "an answer of version %q", r.Proto)
	case r.StatusCode < http.StatusContinue || r.StatusCode > lastStatus || r.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(errNoAnswer, "an answer of status %03d", r.StatusCode)
	default:
		return nil
	}
}

// IsInterim reports whether another head follows one that CheckHead allows.
func IsInterim(r *http.Response) bool { return r.StatusCode < http.StatusOK }
