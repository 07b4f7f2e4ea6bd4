// Package slopes measures what each control mechanism costs as the fleet grows,
// and prints the tables that docs/CAPACITY.md holds.
//
// It drives the mechanisms' own pure code in one process and in virtual time:
// no sockets, no sealing, no other processes. Bytes are those that the code
// itself accounts for a datagram or message, headers included. Processor time is
// that of this process, divided among the members; it contains the cost of the
// virtual network and leaves out system calls, encoding and sealing. Only the
// parts "loopback" and "polls" use sockets and real time, with a few dozen
// daemons and one stand-in of a target.
package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Options say how much to measure.
type Options struct {
	// Sizes are numbers of daemons.
	Sizes []int
	// Targets are numbers of targets, one for each size.
	Targets []int
	// Customers are numbers of customers, one for each size.
	Customers []int
	// Apart is how long a region is apart, and ApartLarge for fleets above
	// LargeFleet.
	Apart      time.Duration
	ApartLarge time.Duration
	// Lossy is how long a fleet runs under loss.
	Lossy time.Duration
	// Loopback are numbers of daemons with sockets, and LoopbackTime how long
	// each fleet of them is measured.
	Loopback     []int
	LoopbackTime time.Duration
	// Part restricts the run to one measurement; empty means all.
	Part string
	// Deaths is how many daemons are killed one after the other.
	Deaths int
}

// LargeFleet is the size above which regions are apart for a shorter time.
const LargeFleet = 200

// Full returns the sizes of docs/CAPACITY.md.
func Full() Options {
	return Options{
		Sizes:      []int{9, 50, 200, 400, 830},
		Targets:    []int{28, 400, 1500, 3000, 6200},
		Customers:  []int{10, 220, 900, 1700, 3600},
		Apart:      time.Hour,
		ApartLarge: 10 * time.Minute,
		Lossy:      5 * time.Minute,
		Deaths:     5,

		Loopback:     []int{9, 25, 50},
		LoopbackTime: 10 * time.Second,
	}
}

// Quick returns sizes for a test.
func Quick() Options {
	return Options{
		Sizes:      []int{9, 20, 40},
		Targets:    []int{28, 150, 300},
		Customers:  []int{10, 40, 80},
		Apart:      time.Minute,
		ApartLarge: time.Minute,
		Lossy:      time.Minute,
		Deaths:     1,

		Loopback:     []int{3, 5},
		LoopbackTime: time.Second,
	}
}

// Command returns the subcommand that measures.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure what control costs at several fleet sizes, in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write the tables to `FILE` instead of standard output"},
			&cli.BoolFlag{Name: "quick", Usage: "measure small fleets only"},
			&cli.StringFlag{Name: "part", Usage: "measure one `PART`: membership, loopback, keepers, quotas, distribution, polls or state"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o := Full()
			if c.Bool("quick") {
				o = Quick()
			}
			o.Part = c.String("part")
			return run(o, c.String("out"), c.Root().Writer)
		},
	}
}

func run(o Options, out string, standard io.Writer) error {
	if out == "" {
		return Measure(o, standard)
	}
	file, err := os.Create(out)
	if err != nil {
		return errors.Wrap(err, "slopes")
	}
	if err := Measure(o, file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "slopes")
}

// parts are the measurements by name, in their order.
var parts = []struct {
	name   string
	tables func(p *printer, o Options)
}{
	{"membership", membershipTables},
	{"loopback", loopbackTables},
	{"keepers", subsetTables},
	{"quotas", quotaTables},
	{"distribution", distributionTables},
	{"polls", pollTables},
	{"state", stateTables},
}

// Measure runs all measurements and writes their tables as Markdown.
func Measure(o Options, w io.Writer) error {
	p := &printer{w: w}
	for _, part := range parts {
		if o.Part == "" || o.Part == part.name {
			part.tables(p, o)
		}
	}
	return errors.Wrap(p.err, "slopes")
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
}

// row writes a row of a table, and header one with the rule below it.
func (p *printer) row(cells ...string) {
	text := "|"
	for _, c := range cells {
		text += " " + c + " |"
	}
	p.line("%s", text)
}

func (p *printer) header(cells ...string) {
	p.row(cells...)
	rule := "|"
	for range cells {
		rule += "---|"
	}
	p.line("%s", rule)
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
