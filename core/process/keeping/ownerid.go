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

// Owner is what the name of a stream or handle says.
type Owner struct {
	// Scope is a hash of the customer's scope.
	Scope       uint64
	Host        names.Host
	Incarnation names.Incarnation
	// Deadline is when nobody wants it any more, to the millisecond.
	Deadline time.Time
	Random   uint64
}

// idFormat begins each name; names are its fields, joined by dots: format,
// scope, host in unpadded base64, incarnation, deadline in milliseconds since
// 1970, random. Numbers are in base 36.
const (
	idFormat = "c1"
	idFields = 6
	idBase   = 36
)

// MaxIDBytes bounds the length of a name that is read, in bytes.
const MaxIDBytes = 512

// ErrForeign is the error for a name that this package did not make.
var ErrForeign = errors.New("not a name of ours")

// NewStreamID names a stream. Random makes it unique among those of the owner.
func NewStreamID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) target.StreamID {
	return target.StreamID(newID(scope, host, inc, deadline, random))
}

// NewHandleID names a handle.
func NewHandleID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) target.HandleID {
	return target.HandleID(newID(scope, host, inc, deadline, random))
}

func newID(scope string, host names.Host, inc names.Incarnation, deadline time.Time, random uint64) string {
	return Owner{Scope: ScopeOf(scope), Host: host, Incarnation: inc, Deadline: deadline, Random: random}.String()
}

// ScopeOf returns the hash of a customer's scope.
func ScopeOf(scope string) uint64 { return xxhash.Sum64String(scope) }

// String returns the name.
func (o Owner) String() string {
	fields := []string{
		idFormat,
		number(o.Scope),
		base64.RawURLEncoding.EncodeToString([]byte(o.Host)),
		number(uint64(o.Incarnation)),
		strconv.FormatInt(o.Deadline.UnixMilli(), idBase),
		number(o.Random),
	}
	return strings.Join(fields, ".")
}

func number(n uint64) string { return strconv.FormatUint(n, idBase) }

// ParseStreamID returns what a stream's name says.
func ParseStreamID(id target.StreamID) (Owner, error) { return parse(string(id)) }

// ParseHandleID returns what a handle's name says.
func ParseHandleID(id target.HandleID) (Owner, error) { return parse(string(id)) }

func parse(id string) (Owner, error) {
	fields := strings.Split(id, ".")
	if len(id) > MaxIDBytes || len(fields) != idFields || fields[0] != idFormat {
		return Owner{}, ErrForeign
	}
	host, err := base64.RawURLEncoding.DecodeString(fields[2])
	if err != nil {
		return Owner{}, foreign("host", err)
	}
	var numbers [3]uint64
	for i, field := range []string{fields[1], fields[3], fields[5]} {
		if numbers[i], err = strconv.ParseUint(field, idBase, 64); err != nil {
			return Owner{}, foreign("number", err)
		}
	}
	deadline, err := strconv.ParseInt(fields[4], idBase, 64)
	if err != nil {
		return Owner{}, foreign("deadline", err)
	}
	return Owner{
		Scope: numbers[0], Host: names.Host(host), Incarnation: names.Incarnation(numbers[1]),
		Deadline: time.UnixMilli(deadline), Random: numbers[2],
	}, nil
}

func foreign(field string, err error) error {
	return errors.Wrap(ErrForeign, fmt.Sprintf("%s: %v", field, err))
}
