package suspects

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"

	"carobspoke.example/core/names"
)

// MaxParts is the maximum number of parts of a request that are tracked.
const MaxParts = 32

// Item is the hash of what requests may have in common: a part of a prompt, or the
// whole request. The part cannot be found from it other than by guessing the part.
type Item uint64

// String returns the item in hexadecimal.
func (i Item) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// CustomerHash identifies a customer in messages between daemons.
type CustomerHash uint32

// Kinds of hashed text. They keep a part from having the item of a whole request.
const (
	partKind     = "part"
	requestKind  = "request"
	customerKind = "customer"
	serviceKind  = "service"
	endKind      = "end"
)

// PartItem returns the item of a part of a prompt.
func PartItem(part string) Item { return Item(hash(partKind, part)) }

// PartItems returns the items of parts, each once, at most MaxParts. Beyond that those
// with the lowest hashes are kept, whatever the order of the parts.
func PartItems(parts []string) []Item {
	items := make([]Item, 0, len(parts))
	for _, part := range parts {
		items = append(items, PartItem(part))
	}
	slices.Sort(items)
	items = slices.Compact(items)
	return items[:min(len(items), MaxParts)]
}

// End identifies the end of one incarnation of a target.
type End uint64

// EndOf returns the end of an incarnation of a target. started is its start time in Unix
// milliseconds, zero if unknown.
func EndOf(id names.Target, started int64) End {
	return End(hash(endKind, string(id), strconv.FormatInt(started, 10)))
}

// ServiceHash identifies a service in messages between daemons.
type ServiceHash uint32

// HashService returns the hash of a service.
func HashService(s names.Service) ServiceHash { return ServiceHash(hash(serviceKind, string(s))) }

// Request holds the items of a request.
type Request struct {
	Customer CustomerHash
	// Service is the service that runs the request.
	Service ServiceHash
	// Items are the parts of the prompt, and last the whole request.
	Items []Item
}

// NewRequest returns the items of a request with the given shared parts of its prompt.
func NewRequest(c names.Customer, method, uri string, body []byte, parts []string) Request {
	whole := Item(hash(requestKind, string(c), method, uri, string(body)))
	return Request{Customer: HashCustomer(c), Items: append(PartItems(parts), whole)}
}

// Parts returns the items of the parts of the prompt.
func (r *Request) Parts() []Item { return r.Items[:max(len(r.Items)-1, 0)] }

// HashCustomer returns the hash of a customer.
func HashCustomer(c names.Customer) CustomerHash { return CustomerHash(hash(customerKind, string(c))) }

// hash returns a hash of a list of texts in which their boundaries are unambiguous.
func hash(kind string, texts ...string) uint64 {
	h := sha256.New()
	for _, text := range append([]string{kind}, texts...) {
		sum := sha256.Sum256([]byte(text))
		h.Write(sum[:])
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
