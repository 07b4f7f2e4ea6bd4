package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command `carobspoke soak`.
func Command() *cli.Command {
	defaults, storms := DefaultConfig(), DefaultStormConfig()
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons against the emulator of the platform while faults are injected, and check their guarantees",
		Description: "Builds carobspoked and must run in the project's workspace. Logs of a seed with a violated guarantee are kept in its folder. " +
			"Exit code 1 if any seed had one.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "`NUMBER` of seeds, one after the other"},
			&cli.DurationFlag{Name: "for", Value: defaults.FaultTime, Usage: "`TIME` in which faults are injected, for each seed"},
			&cli.IntFlag{Name: "daemons", Value: defaults.Daemons, Usage: "`NUMBER` of daemons"},
			&cli.IntFlag{Name: "engines", Value: defaults.Engines, Usage: "`NUMBER` of engines"},
			&cli.IntFlag{Name: "callers", Value: defaults.Callers, Usage: "`NUMBER` of callers"},
			&cli.BoolFlag{Name: "planned", Usage: "planned work alone: no request may be cut"},
			&cli.BoolFlag{Name: "restore", Usage: "the store is also restored from a copy"},
			&cli.BoolFlag{Name: "unframed", Usage: "targets also answer with neither a length nor chunks, and break answers off"},
			&cli.BoolFlag{Name: "parts", Usage: "prompts with a part that crashes targets come, for at least " + minPartsTime.String()},
			&cli.BoolFlag{Name: "turning", Usage: "with --parts: requests with the part complete until it begins to crash targets"},
			&cli.DurationFlag{Name: "crash-every", Value: defaults.CrashingInterval, Usage: "with --parts: `TIME` between two requests with the part"},
			&cli.IntFlag{Name: "outages", Usage: "all engines also end at once, this `NUMBER` of times"},
			&cli.BoolFlag{Name: "leaving", Usage: "targets also state in their answers that they leave, or for how long they want no requests"},
			&cli.BoolFlag{Name: "limits", Usage: "targets also name how many requests a second they take from all daemons"},
			&cli.BoolFlag{Name: "evacuate", Usage: "data centres are also evacuated and taken back"},
			&cli.BoolFlag{Name: "cold", Usage: "targets also bear few requests after their start, after their data centre was taken back, and at times"},
			&cli.BoolFlag{Name: "regions", Usage: "streams and orders may reach one of two regions alone"},
			&cli.IntFlag{Name: "changes", Usage: "instead of all that: `NUMBER` of changes, each while the readers of the store are disturbed or after a restoration, with nine daemons in three data centres that are asked whether it is in force"},
			&cli.IntFlag{Name: "storms", Usage: "instead of all that: `NUMBER` of storms of versions, with daemons in three data centres that are held to a share of a core and are asked whether each version is in force; the flags below are for --storms"},
			&cli.FloatFlag{Name: "share", Value: storms.Share, Usage: "`SHARE` of the time in which a daemon runs"},
			&cli.DurationFlag{Name: "period", Value: storms.Period, Usage: "`TIME` in which each daemon is stopped once"},
			&cli.BoolFlag{Name: "aligned", Usage: "all daemons are stopped at the same moment"},
			&cli.IntFlag{Name: "routes", Value: storms.Routes, Usage: "`NUMBER` of routes that do not change"},
			&cli.IntFlag{Name: "versions", Value: storms.Versions, Usage: "`NUMBER` of versions in a storm"},
			&cli.DurationFlag{Name: "gap", Value: storms.Gap, Usage: "`TIME` between two versions of a storm"},
			&cli.IntFlag{Name: "busy", Usage: "`NUMBER` of threads that keep the machine busy"},
			&cli.IntFlag{Name: "kills", Usage: "`NUMBER` of daemons that are killed and started in each storm"},
			&cli.IntFlag{Name: "stalls", Usage: "`NUMBER` of daemons that are stopped for up to two seconds in each storm"},
			&cli.StringFlag{Name: "beside", Usage: "`PATH` of another build of carobspoked, which every second daemon runs"},
			&cli.StringFlag{Name: "folder", Value: filepath.Join(os.TempDir(), "carobspoke-soak"), Usage: "`FOLDER` for settings and logs, with a folder of its own for each process"},
		},
		Action: runCommand,
	}
}

// run runs one seed, of storms or changes if there are any.
func run(ctx context.Context, c *cli.Command, config Config) (*Report, error) {
	switch {
	case c.Int("storms") > 0:
		if !c.IsSet("daemons") {
			config.Daemons = changesDaemons
		}
		return RunStorms(ctx, config, StormConfig{
			Storms: c.Int("storms"), Versions: c.Int("versions"), Gap: c.Duration("gap"), Routes: c.Int("routes"),
			Share: c.Float("share"), Period: c.Duration("period"), Aligned: c.Bool("aligned"),
			Busy: c.Int("busy"), Kills: c.Int("kills"), Stalls: c.Int("stalls"),
		})
	case c.Int("changes") > 0:
		return RunChanges(ctx, config, c.Int("changes"))
	default:
		return Run(ctx, config)
	}
}

func runCommand(ctx context.Context, c *cli.Command) error {
	// Soaks that run at once must not share a folder.
	folder := filepath.Join(c.String("folder"), strconv.Itoa(os.Getpid()))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Wrap(err, "soak")
	}
	program, err := Build(ctx, folder)
	if err != nil {
		return err
	}
	failed := 0
	for i := range c.Int("seeds") {
		config := Config{
			Seed: c.Uint64("seed") + uint64(i), FaultTime: c.Duration("for"), Daemons: c.Int("daemons"), Engines: c.Int("engines"),
			Services: DefaultConfig().Services, Callers: c.Int("callers"), PlannedOnly: c.Bool("planned"), RestoreStore: c.Bool("restore"),
			Unframed: c.Bool("unframed"), Parts: c.Bool("parts"), Leaving: c.Bool("leaving"), Limits: c.Bool("limits"),
			Evacuate: c.Bool("evacuate"), Cold: c.Bool("cold"), Regions: c.Bool("regions"),
			Outages: c.Int("outages"),
			Turning: c.Bool("turning"), CrashingInterval: c.Duration("crash-every"),
			Program: program, Beside: c.String("beside"),
		}
		config.Folder = filepath.Join(folder, strconv.FormatUint(config.Seed, 10))
		report, err := run(ctx, c, config)
		if err != nil {
			return err
		}
		fmt.Println(time.Now().Format(time.TimeOnly), report)
		if err := report.Err(); err != nil {
			failed++
			fmt.Println(err)
			continue
		}
		if err := os.RemoveAll(config.Folder); err != nil {
			return errors.Wrap(err, "soak")
		}
	}
	if failed > 0 {
		return cli.Exit(fmt.Sprintf("%d seeds violated a guarantee", failed), 1)
	}
	return nil
}
