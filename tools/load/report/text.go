package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"carobspoke.example/tools/load/measure"
	"github.com/pkg/errors"
)

// maxBrokenLines bounds how many broken requests a text lists.
const maxBrokenLines = 10

// percent is a share in a hundred.
const percent = 100

// name names a result in comparisons.
func name(r *measure.Result) string {
	if r.Label != "" {
		return r.Label
	}
	return r.Workload
}

// Text writes a result as tables.
func Text(w io.Writer, r *measure.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line(table, "%s: %d requests in %.0f s, seed %d, speedup %g, at most %d in flight\n",
		name(r), r.Requests, r.Seconds, r.Seed, r.Speedup, r.MaxInFlight)
	line(table, "the tool sent %.1f ms late at the 99th percentile, %.1f ms at most\n\n", r.Lateness.P99MS, r.Lateness.MaxMS)
	line(table, "phase\tclass\toffered\twhole %%\tfirst token p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p50\tp95\tp99\tsent again\tresumed\t\n")
	for _, g := range r.Groups {
		line(table, "%s\t%s\t%d\t%.1f\t%s\t%s\t%s\t%d\t%d\t\n",
			g.Phase, g.Class, g.Offered, WholeShare(g)*percent,
			cells(g.FirstToken), cells(g.InterToken), cells(g.Total), g.Retries, g.Resumes)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return notWhole(w, r)
}

// cells are a distribution's columns.
func cells(l measure.Latency) string {
	if l.Count == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.1f ms\t%.1f\t%.1f", l.P50MS, l.P95MS, l.P99MS)
}

// notWhole lists why requests got no whole answer, and the checks.
func notWhole(w io.Writer, r *measure.Result) error {
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
	for _, b := range r.Violations[:min(len(r.Violations), maxBrokenLines)] {
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

// WholeShare is the share of requests with a whole answer.
func WholeShare(g measure.Group) float64 {
	if g.Offered == 0 {
		return 0
	}
	return float64(g.Complete) / float64(g.Offered)
}

func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // Flush reports the error
}
