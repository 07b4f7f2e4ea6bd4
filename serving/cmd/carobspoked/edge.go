package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"carobspoke.example/platform"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/edge"
	"carobspoke.example/serving/process/logwriter"
	"carobspoke.example/serving/process/targetstate"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// flushTimeout bounds the writing of buffered log lines before the process exits.
const flushTimeout = 200 * time.Millisecond

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "serve on the users' platform, by the settings file that " + platform.SettingsVariable + " names",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check-config", Usage: "check the settings and exit"},
		},
		Action: runEdge,
	}
}

func runEdge(_ context.Context, c *cli.Command) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return cli.Exit("the variable "+platform.SettingsVariable+" is not set", exitSettings)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check-config") {
		fmt.Println("settings are valid")
		return nil
	}
	level, err := zap.ParseAtomicLevel(settings.LogLevel)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	logWriter := logwriter.NewWriter(os.Stdout)
	defer logWriter.Flush(flushTimeout)
	log := logwriter.New(logWriter, level)
	edge.SetMemoryLimit(settings)
	daemon, err := edge.New(edge.Options{
		Settings: settings, Codec: platform.Codec{}, Source: platform.NewStore(settings.StoreAddress), Decoder: platform.Decoder{},
		NewOrders: func(dial upstream.Dialer) targetstate.OrderClient { return platform.NewOrders(dial) }, Log: log, DroppedLines: logWriter.Dropped,
	})
	if err != nil {
		log.Error("not started", zap.Error(err))
		return cli.Exit(err.Error(), exitFailure)
	}
	serveEdge(daemon, path, log)
	return nil
}

// serveEdge runs a daemon until SIGTERM or SIGINT, and then drains it. SIGHUP makes
// it check the settings file.
func serveEdge(daemon *edge.Daemon, path string, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon.Start()
	defer daemon.Close()
	for received := range signals {
		if received == syscall.SIGHUP {
			checkSettings(path, log)
			continue
		}
		daemon.Drain()
		return
	}
}

// checkSettings checks a settings file that has changed, and logs the result. A
// process cannot change its addresses while it runs, so the file takes effect at
// the next start.
func checkSettings(path string, log *zap.Logger) {
	if _, err := platform.LoadSettings(path); err != nil {
		log.Error("the changed settings cannot be used, the ones before stay", zap.Error(err))
		return
	}
	log.Info("settings checked after a change, they take effect at the next start")
}
