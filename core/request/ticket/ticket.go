// Package ticket seals and opens tickets. With a ticket a caller can continue a
// call or a stream through any daemon, although daemons share no state.
//
// A call ticket names the only incarnation of a daemon that may run a
// non-idempotent call. A stream ticket names the engine that runs a generation,
// so that any daemon can resume or cancel it there. Both are sealed with
// AES-256-GCM under a key that the fleet shares: callers can neither read nor
// change a ticket, and a ticket of one customer is rejected for another.
//
// A call ticket holds its expiry twice. The owner checks ExpiresAfterStart,
// which is relative to the owner's start on its monotonic clock. The owner's
// table of calls uses the same clock, so a step of the wall clock cannot make
// the owner run a call again whose entry the table has already dropped. Other
// daemons check ExpiresAt against their wall clocks, only to avoid forwarding a
// call that the owner would refuse.
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

// MaxClockSkew is how far the wall clocks of two daemons may differ before one
// refuses a ticket that the other, its owner, would still accept.
const MaxClockSkew = 30 * time.Second

const idBytes = 16

// Call is a ticket for one non-idempotent call.
type Call struct {
	// ID identifies the call at its owner and at the service.
	ID       string         `json:"id"`
	Customer names.Customer `json:"c"`
	Service  names.Service  `json:"s"`
	// Owner and Incarnation identify the only process that may run the call.
	Owner       names.Host        `json:"o"`
	Incarnation names.Incarnation `json:"i"`
	// ExpiresAfterStart is the time from the owner's start, on its monotonic
	// clock, to the expiry of the ticket.
	ExpiresAfterStart time.Duration `json:"l"`
	// ExpiresAt is the expiry on the owner's wall clock.
	ExpiresAt time.Time `json:"e"`
	// Key is the digest of the caller's idempotency key, or empty.
	Key names.Digest `json:"k,omitempty"`
}

// Stream is a ticket to resume or cancel a generation.
type Stream struct {
	Customer names.Customer  `json:"c"`
	Model    names.Model     `json:"m"`
	Target   names.Target    `json:"t"`
	Stream   target.StreamID `json:"s"`
	// Deadline is the time from which the engine may drop the stream.
	Deadline time.Time `json:"d"`
	// Prompt is the digest under which engine crashes are attributed to the
	// prompt.
	Prompt names.Digest `json:"p,omitempty"`
}

// NewID returns a random identifier of a call, in hexadecimal.
func NewID(random io.Reader) (string, error) {
	var raw [idBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", errors.Wrap(err, "ticket: read random bytes")
	}
	return hex.EncodeToString(raw[:]), nil
}

// KeyDigest returns the digest of a caller's idempotency key together with its
// customer and service. It is empty for an empty key.
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

// SealCall returns the text of a ticket, which the caller sends with the call.
func (r *Keyring) SealCall(c Call, random io.Reader) (string, error) {
	return r.sealJSON(callKind, c, random)
}

// SealStream returns the text of a ticket, with which the caller resumes or
// cancels the stream.
func (r *Keyring) SealStream(s Stream, random io.Reader) (string, error) {
	return r.sealJSON(streamKind, s, random)
}

func (r *Keyring) sealJSON(k kind, content any, random io.Reader) (string, error) {
	plain, err := json.Marshal(content)
	if err != nil {
		return "", errors.Wrap(err, "ticket: encode content")
	}
	return r.seal(k, plain, random)
}

// OpenCall returns the ticket in text if it belongs to the customer and service
// and has not expired. Errors are of type *verdict.Error, with the reason
// TicketInvalid or TicketExpired. Their verdict is MayHaveRun, since an earlier
// request with the same ticket may have run.
func (r *Keyring) OpenCall(text string, customer names.Customer, service names.Service, now time.Time) (Call, error) {
	var c Call
	if err := r.openJSON(callKind, text, &c); err != nil {
		return Call{}, invalid(err)
	}
	if c.Customer != customer || c.Service != service {
		return Call{}, invalid(errors.New("ticket: issued for another customer or service"))
	}
	if !now.Before(c.ExpiresAt.Add(MaxClockSkew)) {
		return Call{}, verdict.New(verdict.MayHaveRun, verdict.TicketExpired, "the ticket has expired")
	}
	return c, nil
}

// OpenStream returns the ticket in text if it belongs to the customer and its
// deadline has not passed. Errors have the types and reasons of OpenCall. The
// verdict is MayHaveRun for an invalid ticket, and Ran for an expired one, since
// a stream ticket is issued only with a stream.
func (r *Keyring) OpenStream(text string, customer names.Customer, now time.Time) (Stream, error) {
	var s Stream
	if err := r.openJSON(streamKind, text, &s); err != nil {
		return Stream{}, invalid(err)
	}
	if s.Customer != customer {
		return Stream{}, invalid(errors.New("ticket: issued for another customer"))
	}
	if !now.Before(s.Deadline) {
		return Stream{}, verdict.New(verdict.Ran, verdict.TicketExpired, "the stream's deadline has passed")
	}
	return s, nil
}

func (r *Keyring) openJSON(k kind, text string, content any) error {
	plain, err := r.open(k, text)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(plain, content), "ticket: decode content")
}

// invalid returns the same message for every cause, so that a caller learns
// nothing about the tickets of others.
func invalid(cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.TicketInvalid, "the ticket is not valid for this customer and service")
}
