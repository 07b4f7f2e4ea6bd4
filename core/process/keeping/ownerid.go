package keeping

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Owner holds the fields that the ID of a stream or handle contains.
type Owner struct {
	// Scope is the hash of the customer's scope, as of ScopeOf.
	Scope       uint64
	Host        names.Host
	Incarnation names.Incarnation
	// Deadline is the time, in whole milliseconds, after which the stream or
	// handle is no longer needed.
	Deadline time.Time
	// Random makes the ID unique among those of the owner.
	Random uint64
}

// An ID consists of idFields fields joined by dots: idFormat, scope, host in
// unpadded base64, incarnation, deadline in milliseconds since 1970, random.
// Numbers are in base 36.
const (
	idFormat = "c1"
	idFields = 6
	idBase   = 36
)

// MaxIDBytes is the maximum length of an ID that is parsed, in bytes.
const MaxIDBytes = 512

// ErrForeign is the error for an ID that is not in the format of this package.
var ErrForeign = errors.New("not a stream or handle ID in the known format")

// NewStreamID returns the ID of a stream. random makes it unique among those of
// the owner.
func NewStreamID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) target.StreamID {
	return target.StreamID(newID(scope, host, inc, deadline, random))
}

// NewHandleID returns the ID of a handle. random makes it unique among those of
// the owner.
func NewHandleID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) target.HandleID {
	return target.HandleID(newID(scope, host, inc, deadline, random))
}

func newID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) string {
	return Owner{Scope: ScopeOf(scope), Host: host, Incarnation: inc, Deadline: deadline, Random: random}.String()
}

// ScopeOf returns the hash of a customer's scope.
func ScopeOf(scope string) uint64 { return xxhash.Sum64String(scope) }

// String returns the ID.
func (o Owner) String() string {
	fields := []string{
		idFormat,
		formatNumber(o.Scope),
		base64.RawURLEncoding.EncodeToString([]byte(o.Host)),
		formatNumber(uint64(o.Incarnation)),
		strconv.FormatInt(o.Deadline.UnixMilli(), idBase),
		formatNumber(o.Random),
	}
	return strings.Join(fields, ".")
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, idBase) }

// ParseStreamID returns the fields of a stream's ID.
func ParseStreamID(id target.StreamID) (Owner, error) { return parse(string(id)) }

// ParseHandleID returns the fields of a handle's ID.
func ParseHandleID(id target.HandleID) (Owner, error) { return parse(string(id)) }

func parse(id string) (Owner, error) {
	fields := strings.Split(id, ".")
	if len(id) > MaxIDBytes || len(fields) != idFields || fields[0] != idFormat {
		return Owner{}, ErrForeign
	}
	host, err := base64.RawURLEncoding.DecodeString(fields[2])
	if err != nil {
		return Owner{}, foreignError("host", err)
	}
	var numbers [3]uint64
	for i, field := range []string{fields[1], fields[3], fields[5]} {
		if numbers[i], err = strconv.ParseUint(field, idBase, 64); err != nil {
			return Owner{}, foreignError("number", err)
		}
	}
	deadline, err := strconv.ParseInt(fields[4], idBase, 64)
	if err != nil {
		return Owner{}, foreignError("deadline", err)
	}
	return Owner{
		Scope: numbers[0], Host: names.Host(host), Incarnation: names.Incarnation(numbers[1]),
		Deadline: time.UnixMilli(deadline), Random: numbers[2],
	}, nil
}

func foreignError(field string, err error) error {
	return errors.Wrap(ErrForeign, fmt.Sprintf("%s: %v", field, err))
}
