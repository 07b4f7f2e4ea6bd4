package adminclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"carobspoke.example/serving/gen/admin"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// commonFlags returns the flags of commands that call daemons. If required is
// true, the daemons' addresses and the key must be given.
func commonFlags(required bool) []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "admin", Aliases: []string{"a"}, Required: required, Usage: "`IP:PORT` of a daemon's administration interface; repeat it"},
		&cli.StringFlag{Name: "key", Sources: cli.EnvVars("CAROBSPOKE_ADMIN_KEY"), Required: required, Usage: "administration key"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// StatusCommand returns `carobspoke status`.
func StatusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show daemons, versions in force, targets and drains",
		Description: "Exit code 1 if a daemon does not answer, is not ready, or has a different version in force than the others.",
		Flags:       commonFlags(true),
		Action: func(ctx context.Context, c *cli.Command) error {
			return showStatus(ctx, c, os.Stdout)
		},
	}
}

func showStatus(ctx context.Context, c *cli.Command, out io.Writer) error {
	var statuses []*admin.StatusResult
	var lastErr error
	for _, address := range c.StringSlice("admin") {
		status, err := New(address, c.String("key")).Status(ctx)
		if err != nil {
			lastErr = errors.Wrap(err, address)
			fmt.Fprintln(os.Stderr, lastErr)
			continue
		}
		statuses = append(statuses, status)
	}
	if c.Bool("json") {
		if err := printJSON(out, statuses); err != nil {
			return err
		}
	} else if err := printStatus(out, statuses); err != nil {
		return err
	}
	if lastErr != nil {
		return lastErr
	}
	return checkConsistent(statuses)
}

// checkConsistent returns an error if a daemon is not ready or the daemons have
// different versions in force.
func checkConsistent(statuses []*admin.StatusResult) error {
	for _, status := range statuses {
		if !status.Ready {
			return errors.Errorf("%s is not ready", status.Host)
		}
		if status.Version != statuses[0].Version {
			return errors.Errorf("%s has version %d in force, %s has %d", status.Host, status.Version, statuses[0].Host, statuses[0].Version)
		}
	}
	return nil
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(value))
}

func printStatus(out io.Writer, statuses []*admin.StatusResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tDATA CENTRE\tVERSION\tREADY\tDRAINING\tMEMBERS\tCONTROL B/S")
	for _, s := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%t\t%d\t%.0f\n", s.Host, s.DataCentre, s.Version, s.Ready, s.Draining, len(s.Members), s.Control["bytes_per_second"])
	}
	if len(statuses) > 0 {
		printTargets(table, statuses[0])
	}
	for _, s := range statuses {
		printRefusals(table, s)
	}
	return errors.WithStack(table.Flush())
}

func printTargets(table io.Writer, s *admin.StatusResult) {
	fmt.Fprintf(table, "\nTARGET (as %s sees it)\tSERVES\tSTATE\tQUEUED TOKENS\tFREE BLOCKS\tIN FLIGHT\tREPORT AGE\n", s.Host)
	for _, t := range s.Targets {
		state := t.State
		if t.LeavesAt != nil {
			state += " at " + *t.LeavesAt
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d of %d\t%d\t%d ms\n", t.Name, t.Serves, state, t.QueuedTokens, t.FreeBlocks, t.TotalBlocks, t.InFlight, t.ReportAgeMs)
	}
}

func printRefusals(table io.Writer, s *admin.StatusResult) {
	for _, reason := range slices.Sorted(maps.Keys(s.Refusals)) {
		fmt.Fprintf(table, "refused at %s\t%s\t%d\n", s.Host, reason, s.Refusals[reason])
	}
}
