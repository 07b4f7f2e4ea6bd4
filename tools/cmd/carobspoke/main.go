// Command carobspoke is the tool of operators and developers: it checks and
// packs manifests, inspects daemons, and runs development fleets and load tests.
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
	"carobspoke.example/tools/configcheck"
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
		Usage:                 "check and pack manifests, inspect a fleet, and run a development fleet",
		Description:           "Exit codes: 0 for success, 1 for a failure, 2 for wrong arguments or input.",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			adminclient.StatusCommand(),
			adminclient.ExplainCommand(),
			bench.Command(),
			configcheck.Command(),
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
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return exitFailure
}
