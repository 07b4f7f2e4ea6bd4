package engine

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// The seed of property tests is fixed unless the command line gives another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestMain fails if an engine that was closed leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
