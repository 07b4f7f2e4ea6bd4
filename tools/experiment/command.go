package experiment

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultSeeds is the number of seeds that figures are taken over.
const defaultSeeds = 3

// Command returns the command that runs the experiments on the policy and
// prints Markdown tables.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "run the policy against naive versions in virtual time, and without each of its parts",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: defaultSeeds},
			&cli.BoolFlag{Name: "parts", Usage: "run the policy without each of its parts instead"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return runAll(c.Root().Writer, c.Int("seeds"), c.Bool("parts"))
		},
	}
}

func runAll(w io.Writer, seedCount int, parts bool) error {
	if seedCount < 1 {
		return errors.New("seeds must be positive")
	}
	seeds := make([]uint64, seedCount)
	for i := range seeds {
		seeds[i] = uint64(i) + 1
	}
	if parts {
		return runParts(w, seeds)
	}
	for _, s := range sizes() {
		if err := writeTable(w, s.title(), columns(), measureAll(measure, versus(), s, seeds)); err != nil {
			return err
		}
	}
	return runSpans(w, seeds)
}

// runSpans runs prompts over one engine's memory, without and with deaths of
// engines.
func runSpans(w io.Writer, seeds []uint64) error {
	for _, s := range sizes() {
		if s.whole {
			continue
		}
		rows := measureAll(measureSpanning, []policy{product()}, s, seeds)
		s.killEvery = killInterval
		rows = append(rows, measureAll(measureSpanning, []policy{product()}, s, seeds)...)
		rows[1].policy += ", an engine killed each minute"
		title := "Prompts of 2.2 engines' memory: " + s.title()
		if err := writeTable(w, title, spanningColumns(), rows); err != nil {
			return err
		}
	}
	return nil
}

// overstatedRate is how many times their prefill rate engines report in the
// experiment on wrong rates.
const overstatedRate = 2

// runParts runs the product without each of its parts at the smaller size.
func runParts(w io.Writer, seeds []uint64) error {
	s := sizes()[0]
	for _, m := range []mix{usual(), heavy()} {
		rows := measureAll(measure, withoutOne(), s.withMix(m), seeds)
		if err := writeTable(w, s.withMix(m).title(), columns(), rows); err != nil {
			return err
		}
	}
	o := s
	o.overstated = overstatedRate
	trusting := []policy{product(), changed(change{name: "rates trusted", trust: true})}
	title := "Engines that report twice their prefill rate: " + s.title()
	if err := writeTable(w, title, columns(), measureAll(measure, trusting, o, seeds)); err != nil {
		return err
	}
	rows := measureAll(measureRepeating, withIndex(), s, seeds)
	return writeTable(w, "Prompts with common beginnings: "+s.title(), repeatingColumns(), rows)
}

func (s size) title() string {
	kind := "engines that interrupt a prefill for a higher priority"
	if s.whole {
		kind = "engines that end a prefill before the next"
	}
	return fmt.Sprintf("%s: %d engines, %d daemons; %s; %s", s.name, s.engines, s.daemons, s.mix.name, kind)
}
