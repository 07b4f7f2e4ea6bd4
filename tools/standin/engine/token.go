package engine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the number that the tokens of a prompt's answer contain.
func Digest(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the text of a token of the answer to a prompt.
func Token(prompt string, offset int) string { return tokenText(Digest(prompt), offset) }

func tokenText(digest uint64, offset int) string {
	return fmt.Sprintf("%016x.%d ", digest, offset)
}
