package experiment

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultSeeds is the default number of seeds per experiment.
const defaultSeeds = 3

// Command returns the command that runs the policy experiments and prints the
// results as Markdown tables.
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
		return runAblations(w, seeds)
	}
	for _, s := range sizes() {
		if err := writeTable(w, s.title(), columns(), measureAll(measure, comparedPolicies(), s, seeds)); err != nil {
			return err
		}
	}
	return runSpans(w, seeds)
}

// runSpans measures prompts larger than one engine's memory, with and without
// engine failures.
func runSpans(w io.Writer, seeds []uint64) error {
	for _, s := range sizes() {
		if s.nonPreemptive {
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

// overstatementFactor is the factor by which engines overstate their prefill
// rate in the experiment on wrong rates.
const overstatementFactor = 2

// runAblations measures the product with one part disabled at a time, on the
// smaller fleet.
func runAblations(w io.Writer, seeds []uint64) error {
	s := sizes()[0]
	for _, m := range []mix{usualMix(), fewShortMix()} {
		rows := measureAll(measure, ablations(), s.withMix(m), seeds)
		if err := writeTable(w, s.withMix(m).title(), columns(), rows); err != nil {
			return err
		}
	}
	overstating := s
	overstating.rateOverstatement = overstatementFactor
	policies := []policy{product(), variantPolicy(variant{name: "rates trusted", trustRates: true})}
	title := "Engines that report twice their prefill rate: " + s.title()
	if err := writeTable(w, title, columns(), measureAll(measure, policies, overstating, seeds)); err != nil {
		return err
	}
	rows := measureAll(measureCommonPrefixes, prefixIndexPolicies(), s, seeds)
	return writeTable(w, "Prompts with common beginnings: "+s.title(), commonPrefixColumns(), rows)
}

func (s size) title() string {
	kind := "engines that interrupt a prefill for a higher priority"
	if s.nonPreemptive {
		kind = "engines that end a prefill before the next"
	}
	return fmt.Sprintf("%s: %d engines, %d daemons; %s; %s", s.name, s.engines, s.daemons, s.mix.name, kind)
}
