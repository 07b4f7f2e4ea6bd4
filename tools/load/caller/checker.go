package caller

import (
	"strconv"
	"strings"
	"sync"
)

// DigestRegistry records which request each prompt digest belongs to. Stand-ins
// write the digest into each token, so that tokens of another request's answer
// are detected. It is safe for concurrent use.
type DigestRegistry struct {
	mu      sync.Mutex
	digests map[string]int
}

// NewDigestRegistry returns an empty registry.
func NewDigestRegistry() *DigestRegistry { return &DigestRegistry{digests: map[string]int{}} }

// claim records the request as the owner of a digest that has none, and reports
// whether the request owns it.
func (s *DigestRegistry) claim(digest string, request int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.digests[digest]
	if !known {
		s.digests[digest] = request
		return true
	}
	return owner == request
}

// tokenChecker checks the tokens of one answer: their offsets must be
// consecutive, and all must have the same prompt digest, which no other request
// may have.
type tokenChecker struct {
	digests    *DigestRegistry
	request    int
	wantTokens int // length of the complete answer
	nextOffset int
	digest     string
	wrong      bool
}

// checkToken checks the digest and the offset in the text of the next token.
func (c *tokenChecker) checkToken(text string) {
	digest, offset, ok := splitToken(text)
	if !ok || offset != c.nextOffset {
		c.wrong = true
	}
	if c.digest == "" {
		c.digest = digest
		c.wrong = c.wrong || !c.digests.claim(digest, c.request)
	}
	if digest != c.digest {
		c.wrong = true
	}
	c.nextOffset++
}

// checkLength checks the number of tokens of a complete answer.
func (c *tokenChecker) checkLength() {
	if c.nextOffset != c.wantTokens {
		c.wrong = true
	}
}

// splitToken parses the token text of stand-ins, "DIGEST.OFFSET ".
func splitToken(text string) (digest string, offset int, ok bool) {
	digest, number, found := strings.Cut(strings.TrimSuffix(text, " "), ".")
	offset, err := strconv.Atoi(number)
	return digest, offset, found && err == nil
}
