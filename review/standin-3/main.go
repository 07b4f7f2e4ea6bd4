// Command standin-3 is the platform, the replicas and the clients of the scripts of the third
// review. It starts real daemons as separate processes, by the run line of the deploy file, and
// speaks to them over loopback.
//
//	standin-3 CASE RECORD    plays a case and writes its record
//	standin-3 replica ID     is one replica, see replicaProcess; cases start it
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// longestRun is after when a case counts as one that could not run.
const longestRun = 110 * time.Second

// cases maps the names of cases to functions that return the number of breaches.
var cases = map[string]func(f *fleet, trouble bool) (breaches int, err error){
	"unframed": unframedAnswers,
	"encoded":  encodedSlash,
	"ids":      growingIDs,
	"slow":     slowReader,
	"stop":     lateBodyAtStop,
}

func main() {
	const arguments = 3
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD | standin-3 replica ID")
		os.Exit(couldNot)
	}
	if os.Args[1] == "replica" {
		if err := replicaProcess(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "standin-3:", err)
			os.Exit(couldNot)
		}
		return
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, path string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin-3: no case", name)
		return couldNot
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return couldNot
	}
	defer func() { _ = file.Close() }() // each line was written already
	f, err := newFleet(&recorder{file: file, began: time.Now()})
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return couldNot
	}
	defer f.close()
	ended := make(chan int, 1)
	go func() { ended <- f.outcome(run, os.Getenv("TROUBLE") != "0") }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-ended:
		return code
	case <-interrupted:
		f.record.add("interrupted")
	case <-time.After(longestRun):
		f.record.add("not done in time")
	}
	return couldNot
}

// outcome plays a case and records its result.
func (f *fleet) outcome(run func(*fleet, bool) (int, error), trouble bool) int {
	f.record.add("trouble: %t", trouble)
	breaches, err := run(f, trouble)
	switch {
	case err != nil:
		f.record.add("could not run: %v", err)
		return couldNot
	case breaches > 0:
		f.record.add("result: the rule was broken, %d times", breaches)
		return ruleBroken
	default:
		f.record.add("result: the rule held")
		return ruleHeld
	}
}
