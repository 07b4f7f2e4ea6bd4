package dev

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"carobspoke.example/tools/standin/fleet"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// DefaultCallerAddress is where `carobspoke dev` serves callers.
const DefaultCallerAddress = "127.0.0.1:8080"

// Command returns `carobspoke dev`.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run daemons and stand-ins in one process on loopback",
		Description: "Starts a fleet of stand-in engines, plain services and a platform, several daemons, and a sample\n" +
			"manifest, prints the URL to call, and runs until it is interrupted.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "size", Value: string(fleet.Dev), Usage: "fleet: dev, sahayatri or tuuraj"},
			&cli.IntFlag{Name: "daemons", Usage: "number of daemons; 0 means as many as the size expects"},
			&cli.FloatFlag{Name: "speedup", Value: 1, Usage: "divide the stand-ins' durations by this"},
			&cli.StringFlag{Name: "listen", Value: DefaultCallerAddress, Usage: "`IP:PORT` of the first daemon for callers"},
			&cli.StringFlag{Name: "separate", Usage: "start no daemons, but write their settings files into `FOLDER`"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the daemons' logs"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	log := zap.NewNop()
	if c.Bool("verbose") {
		verbose, err := zap.NewDevelopment()
		if err != nil {
			return errors.WithStack(err)
		}
		log = verbose
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	running, err := Start(ctx, Config{
		Fleet:         fleet.Config{Size: fleet.Size(c.String("size")), Speedup: c.Float("speedup")},
		Daemons:       c.Int("daemons"),
		CallerAddress: c.String("listen"),
		Separate:      c.String("separate") != "",
		Log:           log,
	})
	if err != nil {
		return err
	}
	defer running.Close()
	if folder := c.String("separate"); folder != "" {
		err = describeSeparate(running, folder)
	} else {
		describe(running)
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// describeSeparate writes settings files and prints how to start daemons.
func describeSeparate(d *Dev, folder string) error {
	daemons, err := d.WriteSettings(folder)
	if err != nil {
		return err
	}
	fmt.Printf("platform http://%s, administration key %s\n", d.Fleet.Platform().Address(), AdminKey)
	for _, engine := range d.Fleet.Engines() {
		fmt.Printf("engine %s\n", engine.Address())
	}
	for _, one := range daemons {
		fmt.Printf("carobspoked --config %s   # callers http://%s\n", one.File, one.Settings.Caller.Listen)
	}
	sample(d, daemons[0].Settings.Caller.Listen)
	return nil
}

// describe prints where to call and with what.
func describe(d *Dev) {
	for _, running := range d.Daemons() {
		fmt.Printf("daemon %s: callers http://%s, administration http://%s\n", running.Host(), running.CallerAddress(), running.AdminAddress())
	}
	fmt.Printf("platform http://%s, administration key %s\n", d.Fleet.Platform().Address(), AdminKey)
	sample(d, d.Daemons()[0].CallerAddress())
}

// sample prints a request to copy and paste.
func sample(d *Dev, caller string) {
	m := d.Manifest()
	fmt.Printf("\nTry:\n\n  curl -N http://%s/v1/chat/completions \\\n", caller)
	fmt.Printf("    -H 'Authorization: Bearer %s' \\\n", fleet.APIKey(m.Customers[0].Name))
	fmt.Printf("    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a petition\"}]}'\n", m.Models[0].Name)
}
