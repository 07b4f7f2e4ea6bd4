// Command carobspoke is for operators and developers.
//
// Exit codes: 0 for success, 1 for a failure, 2 for wrong arguments or input.
package main

import (
	"context"
	"fmt"
	"os"

	"carobspoke.example/tools/adminclient"
	"carobspoke.example/tools/bench"
	"carobspoke.example/tools/cmd/carobspoke/manifestcmd"
	"carobspoke.example/tools/dev"
	"carobspoke.example/tools/experiment"
	"carobspoke.example/tools/load"
	"carobspoke.example/tools/slopes"
	"carobspoke.example/tools/soak"
	"carobspoke.example/tools/trace"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const exitFailure = 1

func main() {
	command := &cli.Command{
		Name:                  "carobspoke",
		Usage:                 "check and publish manifests, look at a fleet, and try one out",
		Description:           "Exit codes: 0 for success, 1 for a failure, 2 for wrong arguments or input.",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			adminclient.StatusCommand(),
			adminclient.ExplainCommand(),
			bench.Command(),
			dev.Command(),
			experiment.Command(),
			load.Command(),
			manifestcmd.Command(),
			slopes.Command(),
			soak.Command(),
			trace.LogsCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "carobspoke:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailure
}
