// The stand-ins of the review: a store, targets, callers and an operator around the
// daemons under review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	caseDeadline = 110 * time.Second
)

// cases are the cases of the review by name. Each returns what broke the rule.
var cases = map[string]func(*bed) ([]string, error){
	"keys":     runKeys,
	"parts":    runParts,
	"watchers": runWatchers,
	"restore":  runRestore,
	"restarts": runRestarts,
}

func main() {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE DAEMON RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, record string) int {
	b, err := newBed(program, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer b.close()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](b)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	o := outcome{err: errors.New("the case was stopped")}
	select {
	case o = <-done:
	case <-stop:
	case <-time.After(caseDeadline):
	}
	if o.err != nil {
		b.log("the case could not run: %v", o.err)
		fmt.Fprintln(os.Stderr, o.err)
		return exitCannot
	}
	for _, line := range o.broken {
		b.log("BROKEN: %s", line)
	}
	b.log("%d breaks of the rule", len(o.broken))
	fmt.Printf("case %s, trouble %t: %d breaks of the rule\n", name, b.trouble, len(o.broken))
	if len(o.broken) > 0 {
		fmt.Println(o.broken[0])
		return exitBroken
	}
	return exitHeld
}
