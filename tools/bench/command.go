package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns `carobspoke bench`.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the overhead that a daemon adds to a request",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Required: true, Usage: "`URL` of the daemon's caller interface"},
			&cli.StringSliceFlag{Name: "engine", Required: true, Usage: "`IP:PORT` of an engine for direct calls; repeat it"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "API key"},
			&cli.StringFlag{Name: "model", Value: "draft"},
			&cli.FloatFlag{Name: "rate", Value: 600, Usage: "requests per second through the daemon"},
			&cli.FloatFlag{Name: "direct-rate", Value: 60, Usage: "concurrent direct requests per second"},
			&cli.IntFlag{Name: "tokens", Value: 4, Usage: "number of tokens of each answer"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
			&cli.IntFlag{Name: "pid", Usage: "the daemon's process ID, to measure its processor time and memory"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := Run(ctx, Config{
				Daemon: c.String("daemon"), Key: c.String("key"), Model: c.String("model"),
				Engines: c.StringSlice("engine"), Rate: c.Float("rate"), DirectRate: c.Float("direct-rate"),
				Tokens: c.Int("tokens"), Duration: c.Duration("duration"), PID: c.Int("pid"), Seed: c.Uint64("seed"),
			})
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				return errors.WithStack(err)
			}
			fmt.Println(string(text))
			return nil
		},
	}
}
