// Package crash keeps a prompt that crashes targets from taking the fleet.
//
// Each request in flight at a target when it dies is suspect, since nobody can
// tell which one did it. A suspect is run again only alone, at an isolation
// target, where a second crash can have no other cause; its prompt is then
// refused for a while. A suspect that ends there is cleared. Digests of
// suspects and of refused prompts are told to the other daemons.
//
// Prompts are known by digests that include the customer and the model, so
// that no customer's prompts are refused, or can be probed, by another.
//
// The bound, for one prompt and one RefusedFor, on each side of a partition: a
// prompt costs one shared target for each send that is in flight before the
// first crash is known, and one isolation target for each daemon that
// isolates it before the second crash is known. A caller that sends again only
// after an answer, to daemons that exchange digests meanwhile, costs one of
// each. Innocent neighbours cost an isolation run each and no target.
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
	// MaxDigests bounds the table. The entry that ends soonest makes room,
	// suspects before refused ones.
	MaxDigests = 2048
	// digestBytes is the length of a digest.
	digestBytes = 16
)

// Digest names a prompt of a customer.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the digest that String wrote.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return d, errors.Errorf("crash: %q is not a digest", text)
	}
	copy(d[:], raw)
	return d, nil
}

// Of returns the digest of a prompt.
func Of(customer names.Customer, model names.Model, adapter names.Adapter, prompt string) Digest {
	hash := sha256.New()
	for _, part := range []string{string(customer), string(model), string(adapter), prompt} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return Digest(hash.Sum(nil)[:digestBytes])
}

// Standing is what is held against a prompt.
type Standing uint8

// Standings of a prompt.
const (
	Clear Standing = iota
	// Suspect prompts run alone at an isolation target.
	Suspect
	// Refused prompts do not run.
	Refused
)

// Entry is a digest as daemons tell each other. Its times are durations, so
// that clocks need not agree.
type Entry struct {
	Digest   Digest
	Standing Standing
	// Left is how long the standing lasts from now on.
	Left time.Duration
}

// Table holds the standings that a daemon knows.
type Table struct {
	entries map[Digest]held
}

type held struct {
	standing Standing
	until    time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[Digest]held)}
}

// Check returns a prompt's standing.
func (t *Table) Check(d Digest, now time.Time) Standing {
	e, ok := t.entries[d]
	if !ok || !now.Before(e.until) {
		return Clear
	}
	return e.standing
}

// Entry returns what to tell other daemons of a prompt.
func (t *Table) Entry(d Digest, now time.Time) Entry {
	return Entry{Digest: d, Standing: t.Check(d, now), Left: max(0, t.entries[d].until.Sub(now))}
}

// Refusal returns the error for a refused prompt, whose standing lasts for
// some time more. Its verdict is Ran: its attempts crashed targets.
func (t *Table) Refusal(d Digest, now time.Time) *verdict.Error {
	left := max(0, t.entries[d].until.Sub(now))
	return verdict.New(verdict.Ran, verdict.CrashSuspect, "targets crashed while they ran this prompt").WithRetryAfter(left)
}

// Crashed records that a target died while it ran the prompt, alone or beside
// others, and returns the prompt's standing.
func (t *Table) Crashed(d Digest, alone bool, now time.Time) Standing {
	if alone {
		t.raise(d, held{standing: Refused, until: now.Add(RefusedFor)}, now)
	} else {
		t.raise(d, held{standing: Suspect, until: now.Add(SuspectFor)}, now)
	}
	return t.Check(d, now)
}

// Ended records that the prompt ran to its end alone, which clears a suspect.
// Other daemons clear it when they isolate it themselves or when it expires.
func (t *Table) Ended(d Digest, now time.Time) {
	if t.Check(d, now) == Suspect {
		delete(t.entries, d)
	}
}

// Digests returns the standings that last at now, ordered by digest, to tell
// them to other daemons.
func (t *Table) Digests(now time.Time) []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for d, e := range t.entries {
		if now.Before(e.until) {
			entries = append(entries, Entry{Digest: d, Standing: e.standing, Left: e.until.Sub(now)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Digest[:]), string(b.Digest[:])) })
	return entries
}

// Learn takes in what another daemon told. It never lowers a standing, and
// believes no time longer than this release would set.
func (t *Table) Learn(entries []Entry, now time.Time) {
	for _, e := range entries {
		longest := SuspectFor
		if e.Standing == Refused {
			longest = RefusedFor
		}
		if e.Standing == Clear || e.Standing > Refused || e.Left <= 0 {
			continue
		}
		t.raise(e.Digest, held{standing: e.Standing, until: now.Add(min(e.Left, longest))}, now)
	}
}

func (t *Table) raise(d Digest, to held, now time.Time) {
	if old := t.entries[d]; t.Check(d, now) != Clear && !before(old, to) {
		return
	}
	t.entries[d] = to
	if len(t.entries) > MaxDigests {
		t.makeRoom(now)
	}
}

// makeRoom drops what has ended, or else the entry that counts least.
func (t *Table) makeRoom(now time.Time) {
	var least Digest
	found := false
	for d, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, d)
			continue
		}
		if !found || before(e, t.entries[least]) || (e == t.entries[least] && strings.Compare(string(d[:]), string(least[:])) < 0) {
			least, found = d, true
		}
	}
	if len(t.entries) > MaxDigests {
		delete(t.entries, least)
	}
}

// before orders standings by weight, then by end.
func before(a, b held) bool {
	if a.standing != b.standing {
		return a.standing < b.standing
	}
	return a.until.Before(b.until)
}
