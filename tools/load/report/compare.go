package report

import (
	"io"
	"text/tabwriter"

	"carobspoke.example/tools/load/measure"
	"github.com/pkg/errors"
)

// metric is a named number of a group that Compare lists.
type metric struct {
	name  string
	value func(measure.Group) float64
}

var metrics = []metric{
	{"whole %", func(g measure.Group) float64 { return CompleteShare(g) * percent }},
	{"first token p50 ms", func(g measure.Group) float64 { return g.FirstToken.P50MS }},
	{"first token p95 ms", func(g measure.Group) float64 { return g.FirstToken.P95MS }},
	{"first token p99 ms", func(g measure.Group) float64 { return g.FirstToken.P99MS }},
	{"between tokens p95 ms", func(g measure.Group) float64 { return g.InterToken.P95MS }},
	{"total p50 ms", func(g measure.Group) float64 { return g.Total.P50MS }},
	{"total p95 ms", func(g measure.Group) float64 { return g.Total.P95MS }},
}

// Compare writes the metrics of two results side by side, for each class and
// phase that both have, and then their checks. The ratio is b divided by a.
func Compare(w io.Writer, a, b *measure.Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeLine(table, "phase\tclass\tfigure\t%s\t%s\tratio\t\n", labelOf(a), labelOf(b))
	for _, group := range a.Groups {
		other := b.Find(group.Class, group.Phase)
		if other == nil {
			continue
		}
		for _, m := range metrics {
			compareMetric(table, group, *other, m)
		}
	}
	compareChecks(table, a.Checks, b.Checks)
	return errors.WithStack(table.Flush())
}

// compareMetric writes a row for a metric unless it is zero in both groups.
func compareMetric(w io.Writer, a, b measure.Group, m metric) {
	before, after := m.value(a), m.value(b)
	if before == 0 && after == 0 {
		return
	}
	ratio := "-"
	if before != 0 {
		ratio = formatNumber(after / before)
	}
	writeLine(w, "%s\t%s\t%s\t%s\t%s\t%s\t\n", a.Phase, a.Class, m.name, formatNumber(before), formatNumber(after), ratio)
}

func compareChecks(w io.Writer, a, b measure.Checks) {
	counts := []struct {
		name string
		a, b int
	}{
		{"wrong tokens", a.WrongTokens, b.WrongTokens},
		{"overdue", a.Overdue, b.Overdue},
		{"calls repeated", a.RepeatedCalls, b.RepeatedCalls},
		{"falsely not run", a.FalselyNotRun, b.FalselyNotRun},
		{"falsely answered", a.FalselyAnswered, b.FalselyAnswered},
		{"blocks left", a.LeakedBlocks, b.LeakedBlocks},
	}
	for _, c := range counts {
		writeLine(w, "check\t\t%s\t%d\t%d\t\t\n", c.name, c.a, c.b)
	}
}
