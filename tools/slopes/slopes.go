// Package slopes measures how the costs of each control mechanism scale with the
// size of the fleet, and prints the tables of docs/SLOPES.md.
//
// It runs the mechanisms' pure code in one process and in virtual time, without
// sockets, sealing or other processes. Byte counts are those that the code itself
// accounts for a datagram or message, headers included. Processor time is that of
// this process, divided by the number of members; it includes the cost of the
// virtual network and excludes system calls, encoding and sealing. Only the parts
// "loopback" and "polls" use sockets and real time, with a few dozen daemons and
// one stand-in target.
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

// Options configures the measurements.
type Options struct {
	// Sizes are the fleet sizes, in daemons.
	Sizes []int
	// Targets are the numbers of targets, one for each size.
	Targets []int
	// Customers are the numbers of customers, one for each size.
	Customers []int
	// PartitionTime is how long a region is partitioned from the others;
	// PartitionTimeLarge applies to fleets above LargeFleet.
	PartitionTime      time.Duration
	PartitionTimeLarge time.Duration
	// LossTime is how long a fleet runs with packet loss.
	LossTime time.Duration
	// LoopbackSizes are the fleet sizes measured with sockets, and LoopbackTime
	// is how long each of these fleets is measured.
	LoopbackSizes []int
	LoopbackTime  time.Duration
	// Part restricts the run to one measurement; empty means all.
	Part string
	// Deaths is how many daemons are killed, one at a time.
	Deaths int
}

// LargeFleet is the size in daemons above which PartitionTimeLarge replaces
// PartitionTime.
const LargeFleet = 200

// FullOptions returns the options of the tables in docs/SLOPES.md.
func FullOptions() Options {
	return Options{
		Sizes:              []int{9, 50, 200, 400, 830},
		Targets:            []int{28, 400, 1500, 3000, 6200},
		Customers:          []int{10, 220, 900, 1700, 3600},
		PartitionTime:      time.Hour,
		PartitionTimeLarge: 10 * time.Minute,
		LossTime:           5 * time.Minute,
		Deaths:             5,

		LoopbackSizes: []int{9, 25, 50},
		LoopbackTime:  10 * time.Second,
	}
}

// QuickOptions returns options with small fleets, for tests.
func QuickOptions() Options {
	return Options{
		Sizes:              []int{9, 20, 40},
		Targets:            []int{28, 150, 300},
		Customers:          []int{10, 40, 80},
		PartitionTime:      time.Minute,
		PartitionTimeLarge: time.Minute,
		LossTime:           time.Minute,
		Deaths:             1,

		LoopbackSizes: []int{3, 5},
		LoopbackTime:  time.Second,
	}
}

// Command returns the subcommand "slopes", which runs the measurements.
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
			o := FullOptions()
			if c.Bool("quick") {
				o = QuickOptions()
			}
			o.Part = c.String("part")
			return run(o, c.String("out"), c.Root().Writer)
		},
	}
}

func run(o Options, out string, stdout io.Writer) error {
	if out == "" {
		return Measure(o, stdout)
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

// parts lists the measurements in the order in which they run.
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

// Measure runs the measurements that o selects and writes their tables as
// Markdown.
func Measure(o Options, w io.Writer) error {
	p := &printer{w: w}
	for _, part := range parts {
		if o.Part == "" || o.Part == part.name {
			part.tables(p, o)
		}
	}
	return errors.Wrap(p.err, "slopes")
}

// printer writes lines of Markdown. It keeps the first error and writes nothing
// after it.
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

// row writes a row of a table; header writes a row and the separator line below
// it.
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
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
