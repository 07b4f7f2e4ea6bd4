package engine

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// Property tests use a fixed seed unless the command line sets another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// TestMain fails if a goroutine is still running after all tests, such as one of
// a closed engine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
