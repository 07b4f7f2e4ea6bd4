// Package crash limits how many targets a prompt that crashes them can take down.
//
// When a target dies, every request in flight there becomes suspect, because the
// cause cannot be determined. A suspect prompt is run again only alone, at an
// isolation target, where it is the only possible cause of a second crash. After a
// second crash the prompt is refused for RefusedFor. A suspect prompt that
// completes at the isolation target is cleared. Daemons exchange the digests of
// suspect and refused prompts.
//
// Digests include the customer and the model, so that one customer cannot cause
// the prompts of another to be refused, or find out whether they are.
//
// The number of targets that one prompt can crash within RefusedFor, on each side
// of a partition, is limited: one shared target for each send that is in flight
// before the first crash is known, and one isolation target for each daemon that
// isolates the prompt before the second crash is known. A caller that sends again
// only after an answer, to daemons that have exchanged digests by then, crashes
// one of each. The other requests that were in flight at a crashed target need one
// isolation run each and crash no target.
//
// A Table is not safe for concurrent use.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

const (
	// SuspectFor is how long a digest is isolated after a crash.
	SuspectFor = 10 * time.Minute
	// RefusedFor is how long a digest is refused after its second crash.
	RefusedFor = 30 * time.Minute
	// MaxDigests is the maximum number of entries of a table. The entry that
	// expires first is evicted, suspect ones before refused ones.
	MaxDigests = 2048
	// digestBytes is the length of a digest, in bytes.
	digestBytes = 16
)

// Digest identifies a prompt of a customer.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of String.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return d, errors.Errorf("crash: %q is not a digest", text)
	}
	copy(d[:], raw)
	return d, nil
}

// DigestOf returns the digest of a prompt. It hashes the digests of the parts, so
// that their boundaries are unambiguous.
func DigestOf(customer names.Customer, model names.Model, adapter names.Adapter, prompt string) Digest {
	hash := sha256.New()
	for _, part := range []string{string(customer), string(model), string(adapter), prompt} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return Digest(hash.Sum(nil)[:digestBytes])
}

// Status is the crash status of a prompt. A higher value is more severe.
type Status uint8

// Statuses of a prompt.
const (
	// Clear prompts run without restriction.
	Clear Status = iota
	// Suspect prompts run alone at an isolation target.
	Suspect
	// Refused prompts are not run.
	Refused
)

// Entry is a digest with its status as daemons exchange it. It holds a duration
// and no time, so that clocks need not agree.
type Entry struct {
	Digest Digest
	Status Status
	// Remaining is the time until the status expires.
	Remaining time.Duration
}

// Table holds the statuses that a daemon knows.
type Table struct {
	entries map[Digest]record
}

type record struct {
	status  Status
	expires time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[Digest]record)}
}

// Check returns a prompt's status at now.
func (t *Table) Check(d Digest, now time.Time) Status {
	e, ok := t.entries[d]
	if !ok || !now.Before(e.expires) {
		return Clear
	}
	return e.status
}

// Entry returns a prompt's status for the other daemons.
func (t *Table) Entry(d Digest, now time.Time) Entry {
	return Entry{Digest: d, Status: t.Check(d, now), Remaining: max(0, t.entries[d].expires.Sub(now))}
}

// Refusal returns the error for a refused prompt, with the time until the status
// expires as the retry delay. Its verdict is Ran, because the earlier attempts
// crashed targets.
func (t *Table) Refusal(d Digest, now time.Time) *verdict.Error {
	remaining := max(0, t.entries[d].expires.Sub(now))
	return verdict.New(verdict.Ran, verdict.CrashSuspect, "targets crashed while they ran this prompt").WithRetryAfter(remaining)
}

// Crashed records that a target died while it ran the prompt, alone or together
// with other requests, and returns the prompt's status.
func (t *Table) Crashed(d Digest, alone bool, now time.Time) Status {
	if alone {
		t.raise(d, record{status: Refused, expires: now.Add(RefusedFor)}, now)
	} else {
		t.raise(d, record{status: Suspect, expires: now.Add(SuspectFor)}, now)
	}
	return t.Check(d, now)
}

// Ended records that the prompt completed alone, which clears a suspect prompt at
// this daemon. Other daemons clear it when they run it in isolation or when it
// expires.
func (t *Table) Ended(d Digest, now time.Time) {
	if t.Check(d, now) == Suspect {
		delete(t.entries, d)
	}
}

// Entries returns the statuses that have not expired, ordered by digest, for the
// other daemons.
func (t *Table) Entries(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for d, e := range t.entries {
		if now.Before(e.expires) {
			entries = append(entries, Entry{Digest: d, Status: e.status, Remaining: e.expires.Sub(now)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Digest[:]), string(b.Digest[:])) })
	return entries
}

// Merge merges the entries of another daemon. It never lowers a status, and limits
// the time until it expires to SuspectFor or RefusedFor of this release.
func (t *Table) Merge(entries []Entry, now time.Time) {
	for _, e := range entries {
		maxDuration := SuspectFor
		if e.Status == Refused {
			maxDuration = RefusedFor
		}
		if e.Status == Clear || e.Status > Refused || e.Remaining <= 0 {
			continue
		}
		t.raise(e.Digest, record{status: e.Status, expires: now.Add(min(e.Remaining, maxDuration))}, now)
	}
}

// raise stores a status unless the present one is at least as severe and lasts at
// least as long.
func (t *Table) raise(d Digest, to record, now time.Time) {
	if old := t.entries[d]; t.Check(d, now) != Clear && !less(old, to) {
		return
	}
	t.entries[d] = to
	if len(t.entries) > MaxDigests {
		t.evict(now)
	}
}

// evict removes the expired entries. If there are none, it removes the least
// entry in the order of less.
func (t *Table) evict(now time.Time) {
	var least Digest
	found := false
	for d, e := range t.entries {
		if !now.Before(e.expires) {
			delete(t.entries, d)
			continue
		}
		if !found || less(e, t.entries[least]) || (e == t.entries[least] && strings.Compare(string(d[:]), string(least[:])) < 0) {
			least, found = d, true
		}
	}
	if len(t.entries) > MaxDigests {
		delete(t.entries, least)
	}
}

// less orders records by severity, then by expiry.
func less(a, b record) bool {
	if a.status != b.status {
		return a.status < b.status
	}
	return a.expires.Before(b.expires)
}
