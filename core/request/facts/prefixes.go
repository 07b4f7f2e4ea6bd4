package facts

import (
	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
)

// Granularity of prefix digests.
const (
	// PrefixTokens is how many more tokens each digest covers than the one
	// before.
	PrefixTokens = 1024
	// PrefixBytes is the same in bytes of text.
	PrefixBytes = 4 * PrefixTokens
	// MaxPrefixes bounds the digests of one prompt.
	MaxPrefixes = 64
)

// Prefixes returns digests of the prompt's first blocks, longest last. They
// contain the customer, model and adapter, so that no two of them share a
// digest.
func Prefixes(c names.Customer, m names.Model, a names.Adapter, prompt string) []uint64 {
	count := min(len(prompt)/PrefixBytes, MaxPrefixes)
	if count == 0 {
		return nil
	}
	hash := xxhash.New()
	for _, part := range []string{string(c), string(m), string(a)} {
		_, _ = hash.WriteString(part)   // it never fails
		_, _ = hash.Write([]byte{0xff}) // no name holds this byte
	}
	digests := make([]uint64, 0, count)
	for i := range count {
		_, _ = hash.WriteString(prompt[i*PrefixBytes : (i+1)*PrefixBytes]) // it never fails
		digests = append(digests, hash.Sum64())
	}
	return digests
}
