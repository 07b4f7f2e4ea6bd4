package engine

import "flag"

// The seed of property tests is fixed unless the command line gives another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
