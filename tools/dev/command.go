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

// DefaultCallerAddress is the default listen address for callers of
// `carobspoke dev`.
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
			&cli.IntFlag{Name: "daemons", Usage: "number of daemons; 0 means the number that the size expects"},
			&cli.FloatFlag{Name: "speedup", Value: 1, Usage: "divide the stand-ins' durations by this factor"},
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
	devFleet, err := Start(ctx, Config{
		Fleet:             fleet.Config{Size: fleet.Size(c.String("size")), Speedup: c.Float("speedup")},
		Daemons:           c.Int("daemons"),
		CallerAddress:     c.String("listen"),
		SeparateProcesses: c.String("separate") != "",
		Log:               log,
	})
	if err != nil {
		return err
	}
	defer devFleet.Close()
	if folder := c.String("separate"); folder != "" {
		err = printSeparate(devFleet, folder)
	} else {
		printEndpoints(devFleet)
	}
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// printSeparate writes the settings files into folder and prints the commands
// that start the daemons.
func printSeparate(d *Environment, folder string) error {
	daemons, err := d.WriteSettings(folder)
	if err != nil {
		return err
	}
	fmt.Printf("platform http://%s, administration key %s\n", d.Fleet.Platform().Address(), AdminKey)
	for _, engine := range d.Fleet.Engines() {
		fmt.Printf("engine %s\n", engine.Address())
	}
	for _, separate := range daemons {
		fmt.Printf("carobspoked --config %s   # callers http://%s\n", separate.File, separate.Settings.Caller.Listen)
	}
	printSampleRequest(d, daemons[0].Settings.Caller.Listen)
	return nil
}

// printEndpoints prints the addresses of the daemons and the platform, the
// administration key and a sample request.
func printEndpoints(d *Environment) {
	for _, running := range d.Daemons() {
		fmt.Printf("daemon %s: callers http://%s, administration http://%s\n", running.Host(), running.CallerAddress(), running.AdminAddress())
	}
	fmt.Printf("platform http://%s, administration key %s\n", d.Fleet.Platform().Address(), AdminKey)
	printSampleRequest(d, d.Daemons()[0].CallerAddress())
}

// printSampleRequest prints a curl command for a prompt to a caller address.
func printSampleRequest(d *Environment, caller string) {
	m := d.Manifest()
	fmt.Printf("\nTry:\n\n  curl -N http://%s/v1/chat/completions \\\n", caller)
	fmt.Printf("    -H 'Authorization: Bearer %s' \\\n", fleet.APIKey(m.Customers[0].Name))
	fmt.Printf("    -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a petition\"}]}'\n", m.Models[0].Name)
}
