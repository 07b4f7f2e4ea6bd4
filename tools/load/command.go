package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"carobspoke.example/tools/load/measure"
	"carobspoke.example/tools/load/report"
	"carobspoke.example/tools/load/workload"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultSettleTimeout bounds the wait for engines to release all resources
// after a run.
const defaultSettleTimeout = 10 * time.Second

// Command returns the load command of the operators' binary.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a workload to a fleet, check its guarantees, compare and plot results",
		Commands: []*cli.Command{
			runCommand(), scheduleCommand(), compareCommand(), reportCommand(), plotCommand(),
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "send a workload to daemons, or directly to stand-ins with --direct",
		ArgsUsage: "WORKLOAD.toml",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemon", Usage: "base `URL` of a daemon; may be repeated"},
			&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` of the daemons' certificate authority"},
			&cli.BoolFlag{Name: "direct", Usage: "start the workload's fleet of stand-ins and call them without daemons"},
			&cli.BoolFlag{Name: "dev", Usage: "start the workload's fleet of stand-ins and daemons in this process"},
			&cli.StringFlag{Name: "separate", Usage: "start the stand-ins, write the daemons' settings files into `FOLDER` and wait until the daemons are ready"},
			&cli.IntFlag{Name: "daemons", Usage: "number of daemons; 0 means the number that the fleet expects"},
			&cli.StringFlag{Name: "manifest", Usage: "manifest `FILE` that lists the stand-ins, for faults and checks"},
			&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform stand-in, for faults"},
			&cli.StringSliceFlag{Name: "without", Usage: "exclude the requests of a `CLASS`; may be repeated"},
			&cli.Uint64Flag{Name: "seed", Usage: "override the file's seed"},
			&cli.DurationFlag{Name: "duration", Usage: "override the file's duration"},
			&cli.FloatFlag{Name: "rate", Usage: "override the file's rate, in arrivals per second"},
			&cli.DurationFlag{Name: "settle", Value: defaultSettleTimeout, Usage: "maximum time for engines to release all resources after the run"},
			&cli.StringFlag{Name: "label", Usage: "name of the run in comparisons"},
			&cli.StringFlag{Name: "out", Usage: "result `FILE`, JSON"},
			&cli.StringFlag{Name: "html", Usage: "HTML report `FILE`, self-contained"},
		},
		Action: runAction,
	}
}

func runAction(ctx context.Context, c *cli.Command) error {
	w, err := loadWorkload(c)
	if err != nil {
		return err
	}
	run := Run{
		Workload:      w,
		Schedule:      workload.Without(w.Schedule(), c.StringSlice("without")),
		Label:         c.String("label"),
		SettleTimeout: c.Duration("settle"),
	}
	stop, err := run.connect(ctx, c)
	if err != nil {
		return err
	}
	defer stop()
	if run.Standins != nil {
		if err := run.Standins.Verify(w.Faults); err != nil {
			return err
		}
	}
	result, err := run.Do(ctx)
	if err != nil {
		return err
	}
	return writeResult(c, result)
}

func loadWorkload(c *cli.Command) (*workload.Workload, error) {
	if c.Args().Len() != 1 {
		return nil, errors.New("expected one argument, a workload file")
	}
	w, err := workload.Load(c.Args().First())
	if err != nil {
		return nil, err
	}
	if c.IsSet("seed") {
		w.Seed = c.Uint64("seed")
	}
	if c.IsSet("duration") {
		w.Duration = workload.Duration(c.Duration("duration"))
	}
	if c.IsSet("rate") {
		w.Rate = c.Float("rate")
	}
	return w, nil
}

func writeResult(c *cli.Command, result *measure.Result) error {
	if err := report.Text(c.Root().Writer, result); err != nil {
		return err
	}
	if path := c.String("out"); path != "" {
		if err := result.Save(path); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		return writeFile(path, func(w io.Writer) error { return report.HTML(w, []*measure.Result{result}) })
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return errors.WithStack(file.Close())
}

func scheduleCommand() *cli.Command {
	return &cli.Command{
		Name:      "schedule",
		Usage:     "print the arrivals of a workload without sending them",
		ArgsUsage: "WORKLOAD.toml",
		Action: func(_ context.Context, c *cli.Command) error {
			w, err := loadWorkload(c)
			if err != nil {
				return err
			}
			for _, r := range w.Schedule() {
				_, err := fmt.Fprintf(c.Root().Writer, "%d\t%s\t%s\t%s\t%d\t%d\n",
					r.Index, r.At, r.Class, r.Customer.Name, r.PromptTokens, r.AnswerTokens)
				if err != nil {
					return errors.WithStack(err)
				}
			}
			return nil
		},
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare two results by class and phase",
		ArgsUsage: "A.json B.json",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errors.New("expected two arguments, the result files to compare")
			}
			results, err := readResults(c.Args().Slice())
			if err != nil {
				return err
			}
			return report.Compare(c.Root().Writer, results[0], results[1])
		},
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write a self-contained HTML page of one or more results",
		ArgsUsage: "RESULT.json...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "out", Required: true, Usage: "HTML `FILE`"}},
		Action: func(_ context.Context, c *cli.Command) error {
			results, err := readResults(c.Args().Slice())
			if err != nil {
				return err
			}
			return writeFile(c.String("out"), func(w io.Writer) error { return report.HTML(w, results) })
		},
	}
}

func plotCommand() *cli.Command {
	return &cli.Command{
		Name:      "plot",
		Usage:     "plot one figure of one or more results, as SVG or PNG",
		ArgsUsage: "RESULT.json...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE`.svg or .png"},
			&cli.StringFlag{Name: "figure", Value: string(report.FirstToken), Usage: "first-token, inter-token, total or timeline"},
			&cli.StringFlag{Name: "class", Value: "short", Usage: "`CLASS` of requests to plot"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			results, err := readResults(c.Args().Slice())
			if err != nil {
				return err
			}
			return report.SaveFigure(c.String("out"), report.Figure(c.String("figure")), c.String("class"), results)
		},
	}
}

func readResults(paths []string) ([]*measure.Result, error) {
	if len(paths) == 0 {
		return nil, errors.New("expected at least one result file")
	}
	results := make([]*measure.Result, 0, len(paths))
	for _, path := range paths {
		result, err := measure.ReadResult(path)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}
