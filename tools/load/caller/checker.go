package caller

import (
	"strconv"
	"strings"
	"sync"
)

// Seen knows which request each answer belongs to, by the digest that the
// stand-ins write into each token. It is safe for concurrent use.
type Seen struct {
	mu      sync.Mutex
	digests map[string]int
}

// NewSeen returns an empty Seen.
func NewSeen() *Seen { return &Seen{digests: map[string]int{}} }

func (s *Seen) belongs(digest string, request int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.digests[digest]
	if !known {
		s.digests[digest] = request
		return true
	}
	return owner == request
}

// checker checks the tokens of one answer: each must be the next, and all of
// the same prompt, which no other request has.
type checker struct {
	seen    *Seen
	request int
	want    int // length of the whole answer
	next    int
	digest  string
	wrong   bool
}

// take checks the text of a token.
func (c *checker) take(text string) {
	digest, offset, ok := splitToken(text)
	if !ok || offset != c.next {
		c.wrong = true
	}
	if c.digest == "" {
		c.digest = digest
		c.wrong = c.wrong || !c.seen.belongs(digest, c.request)
	}
	if digest != c.digest {
		c.wrong = true
	}
	c.next++
}

// end checks the length of an answer that came whole.
func (c *checker) end() {
	if c.next != c.want {
		c.wrong = true
	}
}

func splitToken(text string) (digest string, offset int, ok bool) {
	digest, number, found := strings.Cut(strings.TrimSuffix(text, " "), ".")
	offset, err := strconv.Atoi(number)
	return digest, offset, found && err == nil
}
