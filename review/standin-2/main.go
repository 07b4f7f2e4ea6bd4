// Command review-2 plays the cases of the second review. Each case starts daemons as separate
// processes before stand-ins of the platform, all on loopback, and judges what callers and
// targets see.
//
// Usage: review-2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is how long a case may take.
const limit = 115 * time.Second

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play plays a case, and returns a line for each time that the rule was broken.
type play func(b *bed) ([]string, error)

var cases = map[string]play{
	"6":  truncatedThroughPeer,
	"7":  usedPartialEntry,
	"8":  refusedCommonPart,
	"10": exceededLimit,
	"9":  refusedAfterKill,
}

func main() {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, record string) int {
	b, err := newBed(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	defer b.close()
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		lines, err := p(b)
		done <- result{lines, err}
	}()
	select {
	case r := <-done:
		return b.conclude(r.broken, r.err)
	case <-time.After(limit):
		return b.conclude(nil, fmt.Errorf("it took longer than %s", limit))
	}
}
