package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"carobspoke.example/tools/load/measure"
	"github.com/pkg/errors"
)

// maxBrokenListed is the maximum number of broken requests that Text lists.
const maxBrokenListed = 10

// percent converts a share to a percentage.
const percent = 100

// labelOf returns the label of a result, or its workload's name if it has none.
func labelOf(r *measure.Result) string {
	if r.Label != "" {
		return r.Label
	}
	return r.Workload
}

// Text writes a result as plain text: a table of its groups, the failures and
// the checks.
func Text(w io.Writer, r *measure.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLine(table, "%s: %d requests in %.0f s, seed %d, speedup %g, at most %d in flight\n",
		labelOf(r), r.Requests, r.Seconds, r.Seed, r.Speedup, r.MaxInFlight)
	writeLine(table, "the tool sent %.1f ms late at the 99th percentile, %.1f ms at most\n\n", r.Lateness.P99MS, r.Lateness.MaxMS)
	writeLine(table, "phase\tclass\toffered\twhole %%\tfirst token p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p50\tp95\tp99\tsent again\tresumed\t\n")
	for _, g := range r.Groups {
		writeLine(table, "%s\t%s\t%d\t%.1f\t%s\t%s\t%s\t%d\t%d\t\n",
			g.Phase, g.Class, g.Offered, CompleteShare(g)*percent,
			cells(g.FirstToken), cells(g.InterToken), cells(g.Total), g.Retries, g.Resumes)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return writeFailuresAndChecks(w, r)
}

// cells returns the 50th, 95th and 99th percentiles of a latency as columns.
func cells(l measure.Latency) string {
	if l.Count == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.1f ms\t%.1f\t%.1f", l.P50MS, l.P95MS, l.P99MS)
}

// writeFailuresAndChecks writes the outcomes of requests without a complete
// answer, the first broken requests and the checks.
func writeFailuresAndChecks(w io.Writer, r *measure.Result) error {
	var text strings.Builder
	for _, g := range r.Groups {
		if g.Phase != measure.AllPhases || g.Complete == g.Offered {
			continue
		}
		fmt.Fprintf(&text, "\n%s, not whole:", g.Class)
		for _, o := range g.Outcomes {
			if o.Code != "" {
				fmt.Fprintf(&text, " %s (%s) %d", o.Code, o.Verdict, o.Count)
			}
		}
	}
	for _, b := range r.Violations[:min(len(r.Violations), maxBrokenListed)] {
		fmt.Fprintf(&text, "\nbroken: %s (%s) at %.0f ms took %.0f of %.0f ms, wrong tokens %t, %s %s",
			b.Request, b.Class, b.AtMS, b.TotalMS, b.TimeoutMS, b.WrongTokens, b.Verdict, b.Code)
	}
	c := r.Checks
	fmt.Fprintf(&text, "\n\nwrong tokens %d, overdue %d\n", c.WrongTokens, c.Overdue)
	if c.CallsChecked {
		fmt.Fprintf(&text, "calls repeated %d, falsely not run %d, falsely answered %d\n",
			c.RepeatedCalls, c.FalselyNotRun, c.FalselyAnswered)
		fmt.Fprintf(&text, "left at engines: %d blocks, %d handles, %d streams\n", c.LeakedBlocks, c.LeakedHandles, c.LeakedStreams)
	}
	_, err := io.WriteString(w, text.String())
	return errors.WithStack(err)
}

// CompleteShare returns the share of requests with a complete answer, between 0
// and 1. It is 0 for a group without requests.
func CompleteShare(g measure.Group) float64 {
	if g.Offered == 0 {
		return 0
	}
	return float64(g.Complete) / float64(g.Offered)
}

// writeLine writes a formatted line to a tabwriter.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // the tabwriter's Flush returns the error
}
