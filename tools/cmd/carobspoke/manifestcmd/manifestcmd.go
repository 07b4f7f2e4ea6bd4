// Package manifestcmd is "carobspoke manifest": what the operators' pipeline
// calls before it publishes a manifest.
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

// exitRefused is the exit code for input that daemons would refuse.
const exitRefused = 2

const exitCodes = `Exit codes: 0 for success, 1 if a file cannot be read or written, 2 for wrong
arguments or a manifest that daemons would refuse.`

// Command returns the command "manifest".
func Command() *cli.Command {
	command := &cli.Command{
		Name:        "manifest",
		Usage:       "check, compare, pack and sign manifests",
		Description: "What a pipeline calls before it publishes a manifest.\n\n" + exitCodes,
		Commands:    []*cli.Command{checkCommand(), diffCommand(), packCommand(), signCommand(), keygenCommand()},
		Action:      noCommand,
	}
	for _, sub := range command.Commands {
		sub.OnUsageError = usageError
	}
	return command
}

// noCommand shows the help, or refuses a command that does not exist.
func noCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return refuse("%s: no command %q", c.FullName(), c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return refuse("%s: %v", c.FullName(), err)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "tell whether daemons would take a manifest",
		ArgsUsage:   "MANIFEST.toml",
		Description: "Prints every problem, one a line, with the place in the manifest and what was\nexpected there.\n\n" + exitCodes,
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := arguments(c, 1)
			if err != nil {
				return err
			}
			m, err := load(c.Root().ErrWriter, paths[0])
			if err != nil {
				return err
			}
			return say(c, "%s: version %d is valid: %d customers, %d targets, %d departures\n",
				paths[0], m.Version, len(m.Customers), len(m.Targets), len(m.Departures))
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "tell what a manifest would change",
		ArgsUsage:   "OLD.toml NEW.toml",
		Description: "Prints a sentence for each change. NEW must have a higher version than OLD, since\ndaemons refuse any other.\n\n" + exitCodes,
		Action: func(_ context.Context, c *cli.Command) error {
			paths, err := arguments(c, 2)
			if err != nil {
				return err
			}
			old, err := load(c.Root().ErrWriter, paths[0])
			if err != nil {
				return err
			}
			next, err := load(c.Root().ErrWriter, paths[1])
			if err != nil {
				return err
			}
			return diff(c, old, next)
		},
	}
}

func diff(c *cli.Command, old, next *manifest.Manifest) error {
	for _, change := range manifest.Diff(old, next) {
		if err := say(c, "%s\n", change.Description); err != nil {
			return err
		}
	}
	return grows(old, next)
}

// grows refuses a version that daemons would not take after old.
func grows(old, next *manifest.Manifest) error {
	if next.Version > old.Version {
		return nil
	}
	return refuse("version %d is not above version %d: daemons would refuse it", next.Version, old.Version)
}

// load reads and checks a manifest, and prints its problems.
func load(w io.Writer, path string) (*manifest.Manifest, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return nil, refuse("%s: %v", path, err)
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
	return nil, refuse("%s: %d problems", path, len(problems))
}

// required returns a flag that must be given.
func required(c *cli.Command, flag string) (string, error) {
	value := c.String(flag)
	if value == "" {
		return "", refuse("%s: --%s is required", c.FullName(), flag)
	}
	return value, nil
}

func arguments(c *cli.Command, n int) ([]string, error) {
	if c.Args().Len() != n {
		return nil, refuse("%s: expected %d arguments (%s), got %d", c.FullName(), n, c.ArgsUsage, c.Args().Len())
	}
	return c.Args().Slice(), nil
}

func refuse(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), exitRefused)
}

func say(c *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(c.Root().Writer, format, args...)
	return errors.WithStack(err)
}
