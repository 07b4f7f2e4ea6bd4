package adminclient

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"carobspoke.example/serving/gen/admin"
	"carobspoke.example/tools/trace"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// ExplainCommand returns `carobspoke explain`.
func ExplainCommand() *cli.Command {
	flags := append(commonFlags(false),
		&cli.StringSliceFlag{Name: "logs", Usage: "log files of daemons to search for a request that was sent"},
		&cli.StringFlag{Name: "customer"},
		&cli.StringFlag{Name: "model"},
		&cli.IntFlag{Name: "prompt-tokens"},
		&cli.IntFlag{Name: "max-tokens", Value: 512},
		&cli.DurationFlag{Name: "timeout", Usage: "the request's timeout; 0 means a minute"},
	)
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the choice of a target for a request without sending it, or show the path of a sent one from logs",
		ArgsUsage: "[REQUEST --logs FILE [FILE...]]",
		Flags:     flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			if logs := c.StringSlice("logs"); len(logs) > 0 {
				return explainFromLogs(c, logs)
			}
			for _, name := range []string{"admin", "key", "customer", "model", "prompt-tokens"} {
				if !c.IsSet(name) {
					return cli.Exit("the flag "+name+" is needed, or logs and a request's ID", exitUsage)
				}
			}
			for _, address := range c.StringSlice("admin") {
				if err := explainDaemon(ctx, c, address); err != nil {
					return errors.Wrap(err, address)
				}
			}
			return nil
		},
	}
}

const exitUsage = 2

// explainFromLogs prints the path of a request that the daemons' logs record.
// Arguments after the request's ID are further log files.
func explainFromLogs(c *cli.Command, logs []string) error {
	if c.NArg() == 0 {
		return cli.Exit("the ID of a request is needed", exitUsage)
	}
	return trace.PrintRequest(os.Stdout, c.Args().First(), append(logs, c.Args().Tail()...))
}

func explainDaemon(ctx context.Context, c *cli.Command, address string) error {
	maxTokens := c.Int("max-tokens")
	payload := &admin.ExplainPayload{
		Customer: c.String("customer"), Model: c.String("model"),
		PromptTokens: c.Int("prompt-tokens"), MaxTokens: &maxTokens,
	}
	if timeout := c.Duration("timeout"); timeout > 0 {
		millis := timeout.Milliseconds()
		payload.TimeoutMs = &millis
	}
	result, err := New(address, c.String("key")).Explain(ctx, payload)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(os.Stdout, result)
	}
	return printExplanation(os.Stdout, result)
}

func printExplanation(out io.Writer, e *admin.ExplainResult) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	chosen := "none"
	if e.Target != nil {
		chosen = *e.Target
	}
	fmt.Fprintf(table, "class %s, target %s: %s\n\nTARGET\tPART\tSAYS\tWHY\n", e.Class, chosen, e.Decision)
	for _, step := range e.Steps {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", step.Target, step.Step, step.Verdict, step.Reason)
	}
	return errors.WithStack(table.Flush())
}
