// Command carobspoked is the daemon that runs on each entry host.
//
// Exit codes: 0 after a stop with a drain, 1 for a failure while running, 2 for
// invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/serving/process/settings"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	command := &cli.Command{
		Name:                  "carobspoked",
		Usage:                 "serve callers, and pass their requests to targets",
		Description:           "Exit codes: 0 after a drained stop, 1 for a failure while running, 2 for settings that cannot work.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (TOML)"},
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
		},
		Action:   run,
		Commands: []*cli.Command{edgeCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "carobspoked:", err)
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

func run(ctx context.Context, c *cli.Command) error {
	if !c.IsSet("config") {
		return cli.Exit("the flag --config is missing", exitSettings)
	}
	loaded, err := settings.Load(c.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check-config") {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := newLogger(loaded.Log.Level)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	return serve(ctx, loaded, log)
}

func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config.Level = parsed
	return config.Build()
}

// serve runs a daemon until SIGTERM or SIGINT, and then drains it. A second signal
// ends the drain at once.
func serve(ctx context.Context, loaded *settings.Settings, log *zap.Logger) error {
	d, err := daemon.New(daemon.Options{Settings: loaded, Log: log})
	if err != nil {
		return cli.Exit(err.Error(), exitFailure)
	}
	d.Start()
	defer d.Close()
	first, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	<-first.Done()
	stop()
	second, stopSecond := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSecond()
	drain, cancel := context.WithTimeout(second, loaded.Caller.DrainTimeout.Duration)
	defer cancel()
	return d.Drain(drain)
}
