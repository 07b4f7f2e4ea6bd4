package experiment

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// column is a column of a table: its title and its value for each policy.
type column struct {
	title string
	value func(m *measured) string
}

// columns returns the columns of the main table.
func columns() []column {
	return []column{
		{"short slowed", func(m *measured) string { return fmt.Sprintf("%.2f", m.shortSlowdown()) }},
		{"short p95 ms", func(m *measured) string { return ms(quantile(m.steady.kinds[shortPrompt].waits, p95)) }},
		{"medium slowed", func(m *measured) string { return slowdownP95(&m.steady, mediumPrompt) }},
		{"long slowed", func(m *measured) string { return slowdownP95(&m.steady, longPrompt) }},
		{"in bound short/medium/long", func(m *measured) string { return withinBound(&m.steady) }},
		{"refused", func(m *measured) string { return percent(len(m.steady.refusals), m.steady.attempts()) }},
		{"crest goodput", func(m *measured) string { return fmt.Sprintf("%.0f%%", 100*m.overloadGoodput) }},
		{"late", func(m *measured) string { return percent(m.overload.late(), m.overload.started()) }},
		{"refusal p99 ms", func(m *measured) string { return ms(quantile(m.overload.refusals, p99)) }},
		{"answered short/medium/long", func(m *measured) string { return answered(&m.overload) }},
		{"small's goodput", func(m *measured) string { return percent(m.smallTokens, m.smallAloneTokens) }},
		{"recovery s", func(m *measured) string { return fmt.Sprintf("%.0f", m.recovery.Seconds()) }},
		{"late after spike", func(m *measured) string { return percent(m.spike.late(), m.spike.started()) }},
		{"late, impatient", func(m *measured) string { return percent(m.impatient.late(), m.impatient.started()) }},
	}
}

func commonPrefixColumns() []column {
	return []column{
		{"prompt tokens cached", func(m *measured) string { return percent(m.commonPrefixes.cachedTokens, m.commonPrefixes.promptTokens) }},
		{"short p95 ms", func(m *measured) string { return ms(quantile(m.commonPrefixes.kinds[shortPrompt].waits, p95)) }},
		{"medium p50 ms", func(m *measured) string { return ms(quantile(m.commonPrefixes.kinds[mediumPrompt].waits, p50)) }},
		{"medium p95 ms", func(m *measured) string { return ms(quantile(m.commonPrefixes.kinds[mediumPrompt].waits, p95)) }},
		{"long p50 ms", func(m *measured) string { return ms(quantile(m.commonPrefixes.kinds[longPrompt].waits, p50)) }},
		{"refused", func(m *measured) string { return percent(len(m.commonPrefixes.refusals), m.commonPrefixes.attempts()) }},
		{"late", func(m *measured) string { return percent(m.commonPrefixes.late(), m.commonPrefixes.started()) }},
	}
}

func spanningColumns() []column {
	return []column{
		{"spans asked for", func(m *measured) string { return fmt.Sprint(m.spanning.kinds[spanPrompt].offered) }},
		{"started", func(m *measured) string { return fmt.Sprint(m.spanning.kinds[spanPrompt].started) }},
		{"completed", func(m *measured) string { return fmt.Sprint(m.spanning.kinds[spanPrompt].completed) }},
		{"broken off", func(m *measured) string { return fmt.Sprint(m.spanning.kinds[spanPrompt].aborted) }},
		{"late", func(m *measured) string { return fmt.Sprint(m.spanning.kinds[spanPrompt].late) }},
		{"first token p50 s", func(m *measured) string { return seconds(quantile(m.spanning.kinds[spanPrompt].waits, p50)) }},
		{"first token p95 s", func(m *measured) string { return seconds(quantile(m.spanning.kinds[spanPrompt].waits, p95)) }},
		{"refused of all attempts", func(m *measured) string { return percent(len(m.spanning.refusals), m.spanning.attempts()) }},
		{"late of all", func(m *measured) string { return percent(m.spanning.late(), m.spanning.started()) }},
	}
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.0f", d.Seconds()) }

// Quantiles of the tables.
const (
	p50 = 0.50
	p95 = 0.95
	p99 = 0.99
)

// shortSlowdown returns the p95 time to first token of short prompts under the
// mixed load, divided by the same without the other prompts.
func (m *measured) shortSlowdown() float64 {
	shortOnly := quantile(m.shortOnly.kinds[shortPrompt].waits, p95)
	if shortOnly == 0 {
		return 0
	}
	return float64(quantile(m.steady.kinds[shortPrompt].waits, p95)) / float64(shortOnly)
}

func slowdownP95(r *result, kind int) string {
	return fmt.Sprintf("%.2f", quantile(r.kinds[kind].slowdowns, p95))
}

func ms(d time.Duration) string { return fmt.Sprint(d.Milliseconds()) }

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

// answered returns the share of jobs of each kind that were answered completely
// before the deadline in any of the caller's attempts.
func answered(r *result) string {
	parts := make([]string, spanPrompt)
	for i := range spanPrompt {
		parts[i] = fmt.Sprintf("%.0f%%", 100*float64(r.kinds[i].completed)/float64(max(r.kinds[i].offered, 1)))
	}
	return strings.Join(parts, " ")
}

// withinBound returns the share of first tokens of each kind that arrived
// within firstTokenBound.
func withinBound(r *result) string {
	parts := make([]string, spanPrompt)
	for i := range spanPrompt {
		t := &r.kinds[i]
		parts[i] = fmt.Sprintf("%.0f%%", 100*float64(t.withinBound)/float64(max(len(t.waits), 1)))
	}
	return strings.Join(parts, " ")
}

// writeTable prints one row for each policy, in Markdown.
func writeTable(w io.Writer, title string, columns []column, rows []*measured) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n| policy |", title)
	rule := "|---|"
	for _, c := range columns {
		fmt.Fprintf(&b, " %s |", c.title)
		rule += "---|"
	}
	fmt.Fprintf(&b, "\n%s\n", rule)
	for _, m := range rows {
		fmt.Fprintf(&b, "| %s |", m.policy)
		for _, c := range columns {
			fmt.Fprintf(&b, " %s |", c.value(m))
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}
