// Package ticket seals and opens the tickets by which callers come back
// through any daemon, although no daemon shares state with another.
//
// A call ticket names the only incarnation of a daemon that may ever run a
// non-idempotent call. A stream ticket names the engine that runs a
// generation, so that any daemon can resume or cancel it there. Both are
// sealed with AES-256-GCM under a key that the fleet shares: a caller can
// neither read nor change one, and a ticket of one customer does not open for
// another.
//
// A call ticket carries its expiry twice. The owner checks Lifetime, which
// counts from its own start on its monotonic clock: the owner's table of calls
// uses the same clock, so that no step of the wall clock makes it run a call
// that the table has forgotten. Other daemons check ExpiresAt, by their wall
// clocks, only to spare the owner a call that it would refuse.
package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// ClockSlack is how far the wall clocks of two daemons may differ before a
// daemon refuses a ticket that its owner would still accept.
const ClockSlack = 30 * time.Second

const idBytes = 16

// Call is a ticket for one non-idempotent call.
type Call struct {
	// ID is the call's number at its owner and at the service.
	ID       string         `json:"id"`
	Customer names.Customer `json:"c"`
	Service  names.Service  `json:"s"`
	// Owner and Incarnation name the only process that may run the call.
	Owner       names.Host        `json:"o"`
	Incarnation names.Incarnation `json:"i"`
	// Lifetime is when the ticket expires, counted from the owner's start.
	Lifetime time.Duration `json:"l"`
	// ExpiresAt is the same moment by the owner's wall clock.
	ExpiresAt time.Time `json:"e"`
	// Key is the digest of the caller's own key, or empty.
	Key names.Digest `json:"k,omitempty"`
}

// Stream is a ticket to resume or cancel a generation.
type Stream struct {
	Customer names.Customer  `json:"c"`
	Model    names.Model     `json:"m"`
	Target   names.Target    `json:"t"`
	Stream   target.StreamID `json:"s"`
	// Deadline is when the engine may drop the stream.
	Deadline time.Time `json:"d"`
	// Prompt is the digest under which crashes are held against the prompt.
	Prompt names.Digest `json:"p,omitempty"`
}

// NewID returns a random number for a call.
func NewID(random io.Reader) (string, error) {
	var raw [idBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", errors.Wrap(err, "ticket: random bytes")
	}
	return hex.EncodeToString(raw[:]), nil
}

// KeyDigest returns the digest of a caller's key, bound to its customer and
// service; empty for an empty key.
func KeyDigest(customer names.Customer, service names.Service, key string) names.Digest {
	if key == "" {
		return ""
	}
	hash := sha256.New()
	for _, part := range []string{string(customer), string(service), key} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return names.Digest(hex.EncodeToString(hash.Sum(nil)))
}

// SealCall returns the text that the caller sends with the call.
func (r *Ring) SealCall(c Call, random io.Reader) (string, error) {
	return r.sealJSON(callKind, c, random)
}

// SealStream returns the text that the caller resumes or cancels with.
func (r *Ring) SealStream(s Stream, random io.Reader) (string, error) {
	return r.sealJSON(streamKind, s, random)
}

func (r *Ring) sealJSON(k kind, content any, random io.Reader) (string, error) {
	plain, err := json.Marshal(content)
	if err != nil {
		return "", errors.Wrap(err, "ticket: encode")
	}
	return r.seal(k, plain, random)
}

// OpenCall returns the ticket in text if it belongs to customer and service
// and has not expired. Errors are *verdict.Error with TicketInvalid or
// TicketExpired. Their verdict is MayHaveRun: an earlier send with the same
// ticket may have run.
func (r *Ring) OpenCall(text string, customer names.Customer, service names.Service, now time.Time) (Call, error) {
	var c Call
	if err := r.openJSON(callKind, text, &c); err != nil {
		return Call{}, invalid(err)
	}
	if c.Customer != customer || c.Service != service {
		return Call{}, invalid(errors.New("ticket: of another customer or service"))
	}
	if !now.Before(c.ExpiresAt.Add(ClockSlack)) {
		return Call{}, verdict.New(verdict.MayHaveRun, verdict.TicketExpired, "the ticket has expired")
	}
	return c, nil
}

// OpenStream returns the ticket in text if it belongs to customer and its
// deadline has not passed. Errors are those of OpenCall; their verdict is
// Ran, since a stream ticket is given out only with a stream.
func (r *Ring) OpenStream(text string, customer names.Customer, now time.Time) (Stream, error) {
	var s Stream
	if err := r.openJSON(streamKind, text, &s); err != nil {
		return Stream{}, invalid(err)
	}
	if s.Customer != customer {
		return Stream{}, invalid(errors.New("ticket: of another customer"))
	}
	if !now.Before(s.Deadline) {
		return Stream{}, verdict.New(verdict.Ran, verdict.TicketExpired, "the stream's deadline has passed")
	}
	return s, nil
}

func (r *Ring) openJSON(k kind, text string, content any) error {
	plain, err := r.open(k, text)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(plain, content), "ticket: decode")
}

// invalid is one message for every cause, so that a caller learns nothing
// about a ticket that is not its own.
func invalid(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.TicketInvalid, "the ticket is not valid for this customer and service")
}
