package configcheck

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"carobspoke.example/core/version/routing"
	"carobspoke.example/platform"
	"carobspoke.example/serving/process/published"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// exitErrors is the exit code for a configuration with errors.
const exitErrors = 1

// Command returns `carobspoke check-config`.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check a routing configuration before it is published",
		ArgsUsage: "FILE",
		Description: "Prints errors and warnings with their place. Exit code 1 if there are errors. " +
			"API keys are not printed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the version in force: also print what differs"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 1 {
				return cli.Exit("one configuration is needed", 2)
			}
			return run(c.Root().Writer, c.Args().First(), c.String("against"))
		},
	}
}

// run checks the configuration in a file and compares it with the one in another file,
// unless that is empty.
func run(out io.Writer, path, against string) error {
	next, err := ReadFile(path)
	if err != nil {
		return cli.Exit(fmt.Sprintf("error: %v", err), exitErrors)
	}
	found := Check(next)
	var differences []string
	if against != "" {
		inForce, err := ReadFile(against)
		if err != nil {
			return cli.Exit(fmt.Sprintf("error: %v", err), exitErrors)
		}
		found = append(CheckVersion(inForce, next), found...)
		differences = Compare(inForce, next)
	}
	for _, finding := range found {
		if _, err := fmt.Fprintln(out, finding); err != nil {
			return errors.WithStack(err)
		}
	}
	for _, difference := range differences {
		if _, err := fmt.Fprintln(out, "differs:", difference); err != nil {
			return errors.WithStack(err)
		}
	}
	if HasErrors(found) {
		return cli.Exit("the configuration has errors", exitErrors)
	}
	_, err = fmt.Fprintf(out, "version %d: no errors, %d routes, %d services, %d tenants\n", next.Version, len(next.Routes), len(next.Services), len(next.Customers))
	return errors.WithStack(err)
}

// ReadFile reads a configuration as operators publish it. Its error has the path and, for
// text that is no JSON or a value of a wrong type, the line and column.
func ReadFile(path string) (*routing.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	config, _, err := platform.Decoder{}.Decode(&published.Record{Key: platform.KeyConfig, Value: text})
	if err == nil {
		return config, nil
	}
	offset := int64(-1)
	if syntax := new(json.SyntaxError); errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if wrongType := new(json.UnmarshalTypeError); errors.As(err, &wrongType) {
		offset = wrongType.Offset
	}
	if offset < 0 {
		return nil, errors.Wrap(err, path)
	}
	line, column := position(text, offset)
	return nil, errors.Wrapf(err, "%s:%d:%d", path, line, column)
}

// position returns the line and the column, both from 1, of the byte before an offset: the
// last one that the decoder has read.
func position(text []byte, offset int64) (line, column int) {
	read := text[:max(min(offset, int64(len(text))), 1)-1]
	return bytes.Count(read, []byte("\n")) + 1, len(read) - bytes.LastIndexByte(read, '\n')
}
