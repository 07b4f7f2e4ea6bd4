package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// PromptDigest returns the digest of a prompt, which the text of each token of its
// answer contains.
func PromptDigest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the text of the token at an offset of the answer to a prompt.
func Token(prompt string, offset int) string { return tokenText(PromptDigest(prompt), offset) }

func tokenText(digest uint64, offset int) string {
	return fmt.Sprintf("%016x.%d ", digest, offset)
}
