// Package manifestcmd implements the command "carobspoke manifest". A deployment
// pipeline uses it to check, compare, pack and sign a manifest before it
// publishes the result.
//
// Exit codes: 0 for success, 1 if a file cannot be read or written, 2 for
// wrong arguments or a manifest that daemons would refuse.
package manifestcmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// exitInvalidInput is the exit code for wrong arguments and for a manifest that
// daemons would refuse.
const exitInvalidInput = 2

const exitCodes = `Exit codes: 0 for success, 1 if a file cannot be read or written, 2 for wrong
arguments or a manifest that daemons would refuse.`

// Command returns `carobspoke manifest`.
func Command() *cli.Command {
	command := &cli.Command{
		Name:        "manifest",
		Usage:       "check, compare, pack and sign manifests",
		Description: "A deployment pipeline runs these commands before it publishes a manifest.\n\n" + exitCodes,
		Commands:    []*cli.Command{checkCommand(), diffCommand(), packCommand(), signCommand(), keygenCommand()},
		Action:      handleMissingCommand,
	}
	for _, sub := range command.Commands {
		sub.OnUsageError = usageError
	}
	return command
}

// handleMissingCommand prints the help if no subcommand is given, and returns an
// error for an unknown one.
func handleMissingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return inputErrorf("%s: no command %q", c.FullName(), c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return inputErrorf("%s: %v", c.FullName(), err)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check whether daemons would accept a manifest",
		ArgsUsage:   "MANIFEST.toml",
		Description: "Prints every problem, one per line, with its place in the manifest and the\nexpected value.\n\n" + exitCodes,
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := exactArguments(c, 1)
			if err != nil {
				return err
			}
			m, err := loadManifest(c.Root().ErrWriter, paths[0])
			if err != nil {
				return err
			}
			return printf(c, "%s: version %d is valid: %d customers, %d targets, %d departures\n",
				paths[0], m.Version, len(m.Customers), len(m.Targets), len(m.Departures))
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "describe the changes between two manifests",
		ArgsUsage:   "OLD.toml NEW.toml",
		Description: "Prints a sentence for each change. NEW must have a higher version than OLD, since\ndaemons refuse other versions.\n\n" + exitCodes,
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := exactArguments(c, 2)
			if err != nil {
				return err
			}
			old, err := loadManifest(c.Root().ErrWriter, paths[0])
			if err != nil {
				return err
			}
			next, err := loadManifest(c.Root().ErrWriter, paths[1])
			if err != nil {
				return err
			}
			return diff(c, old, next)
		},
	}
}

func diff(c *cli.Command, old, next *manifest.Manifest) error {
	for _, change := range manifest.Diff(old, next) {
		if err := printf(c, "%s\n", change.Description); err != nil {
			return err
		}
	}
	return checkVersionIncreases(old, next)
}

// checkVersionIncreases returns an error unless the version of next is higher
// than that of old, since daemons refuse any other.
func checkVersionIncreases(old, next *manifest.Manifest) error {
	if next.Version > old.Version {
		return nil
	}
	return inputErrorf("version %d is not above version %d: daemons would refuse it", next.Version, old.Version)
}

// loadManifest reads and validates a manifest. If it is invalid, its problems
// are printed to w, one per line, and an error is returned.
func loadManifest(w io.Writer, path string) (*manifest.Manifest, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return nil, inputErrorf("%s: %v", path, err)
	}
	problems := m.Validate()
	if len(problems) == 0 {
		return m, nil
	}
	for _, problem := range problems {
		if _, err := fmt.Fprintf(w, "%s: %s\n", path, problem); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return nil, inputErrorf("%s: %d problems", path, len(problems))
}

// requiredFlag returns the value of a flag, or an error if it is empty.
func requiredFlag(c *cli.Command, flag string) (string, error) {
	value := c.String(flag)
	if value == "" {
		return "", inputErrorf("%s: --%s is required", c.FullName(), flag)
	}
	return value, nil
}

// exactArguments returns the arguments, or an error unless there are exactly n.
func exactArguments(c *cli.Command, n int) ([]string, error) {
	if c.Args().Len() != n {
		return nil, inputErrorf("%s: expected %d arguments (%s), got %d", c.FullName(), n, c.ArgsUsage, c.Args().Len())
	}
	return c.Args().Slice(), nil
}

// inputErrorf returns an error that ends the command with exitInvalidInput.
func inputErrorf(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), exitInvalidInput)
}

// printf writes to the standard output of the root command.
func printf(c *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(c.Root().Writer, format, args...)
	return errors.WithStack(err)
}
