package routing

import "carobspoke.example/core/names"

// Outcome is what is known about a published version.
type Outcome uint8

// Outcomes of a published version.
const (
	// Undecoded is a version that was not decoded.
	Undecoded Outcome = iota
	// Valid is a version that is valid.
	Valid
	// Unusable is a record that cannot be decoded, or whose configuration is invalid.
	Unusable
)

// Published is a published record of the configuration.
type Published struct {
	// Version is zero if it is not known.
	Version names.Version
	Outcome Outcome
}

// NewestValid returns the newest of the valid versions and that in force.
func NewestValid(records []Published, inForce names.Version) names.Version {
	newest := inForce
	for _, r := range records {
		if r.Outcome == Valid {
			newest = max(newest, r.Version)
		}
	}
	return newest
}

// NextToDecode returns the index of the record to decode next, of records of one key in the order
// of their publication, or -1 if no other can come into force. It begins with the last one,
// which decides whether the key's value is usable, and goes on with the one before it that may
// hold a version newer than all valid ones and that in force.
func NextToDecode(records []Published, inForce names.Version) int {
	newest := NewestValid(records, inForce)
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		mayBeNewer := r.Version == 0 || r.Version > newest
		if r.Outcome == Undecoded && (mayBeNewer || i == len(records)-1) {
			return i
		}
	}
	return -1
}
