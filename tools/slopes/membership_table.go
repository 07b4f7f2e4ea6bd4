package slopes

import (
	"fmt"
	"slices"
	"time"
)

func membershipTables(p *printer, o Options) {
	costs := make([]fleetCosts, 0, len(o.Sizes))
	for _, n := range o.Sizes {
		costs = append(costs, measureFleet(n, o))
	}
	rateTable(p, o, costs)
	timeTable(p, o, costs)
	failureTable(p, o, costs)
	fitTable(p, o, costs)
}

func rateTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: rates of one daemon")
	p.line("")
	p.line("Bytes and messages are sent and received together. Busy: one new version each %s, a crash digest each %s, a load digest of every daemon each second.",
		changePeriod.Round(10*time.Millisecond), crashPeriod)
	p.line("")
	p.header("daemons", "quiet B/s", "quiet msg/s", "quiet CPU/s", "busy B/s", "busy msg/s", "busy CPU/s", "apart B/s", "apart CPU/s", "highest second at start, B sent", "highest second apart or merging, B sent", "heap")
	for i, c := range costs {
		p.row(fmt.Sprint(o.Sizes[i]),
			number(c.quiet.bytes), number(c.quiet.messages), c.quiet.processor.String(),
			number(c.busy.bytes), number(c.busy.messages), c.busy.processor.String(),
			number(c.apartRates.bytes), c.apartRates.processor.String(),
			fmt.Sprint(c.formPeak), fmt.Sprint(c.mergePeak), kilobytes(c.state))
	}
	p.line("")
}

func timeTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: times and wrong judgements")
	p.line("")
	p.header("daemons", "all start: all awake", "all start: views complete", "version heard by all", "death: first knows, median", "death: all know, median", "death: all know, longest", "restart: all know, longest", "5% loss: suspicions per member-hour", "5% loss: deaths", "region apart", "merged after", "all waits ended")
	for i, c := range costs {
		p.row(fmt.Sprint(o.Sizes[i]), seconds(c.awake), seconds(c.formed), seconds(c.version),
			seconds(median(c.detected)), seconds(median(c.known)), seconds(slices.Max(c.known)), seconds(slices.Max(c.rejoined)),
			fmt.Sprintf("%.2f", float64(c.suspicions)/c.memberHours), fmt.Sprint(c.deaths),
			c.apart.String(), seconds(c.merged), fmt.Sprint(c.complete))
	}
	p.line("")
}

func failureTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: what failures cost each daemon")
	p.line("")
	p.header("daemons", "one daemon replaced: B beyond the quiet rate, mean", "rack of 20 lost: all know", "rack back: all know", "data centre lost: all know", "data centre back: all know", "highest second of a data centre, B sent")
	for i, c := range costs {
		p.row(fmt.Sprint(o.Sizes[i]), number(mean(c.replacement)),
			seconds(c.rack.known), seconds(c.rack.back), seconds(c.outage.known), seconds(c.outage.back), fmt.Sprint(c.outage.peak))
	}
	p.line("")
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func fitTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: fits over the number of daemons n")
	p.line("")
	p.header("quantity", "fit")
	fits := []struct {
		name string
		of   func(fleetCosts) float64
	}{
		{"quiet B/s", func(c fleetCosts) float64 { return c.quiet.bytes }},
		{"busy B/s", func(c fleetCosts) float64 { return c.busy.bytes }},
		{"busy messages/s", func(c fleetCosts) float64 { return c.busy.messages }},
		{"busy CPU, fraction of a core", func(c fleetCosts) float64 { return c.busy.processor.Seconds() }},
		{"apart CPU, fraction of a core", func(c fleetCosts) float64 { return c.apartRates.processor.Seconds() }},
		{"heap, bytes", func(c fleetCosts) float64 { return c.state }},
		{"views complete after a common start, s", func(c fleetCosts) float64 { return c.formed.Seconds() }},
		{"death known by all, s", func(c fleetCosts) float64 { return median(c.known).Seconds() }},
		{"one daemon replaced, B", func(c fleetCosts) float64 { return mean(c.replacement) }},
		{"data centre lost, known by all, s", func(c fleetCosts) float64 { return c.outage.known.Seconds() }},
		{"merged, s", func(c fleetCosts) float64 { return c.merged.Seconds() }},
	}
	x := floats(o.Sizes)
	for _, f := range fits {
		y := make([]float64, 0, len(costs))
		for _, c := range costs {
			y = append(y, f.of(c))
		}
		p.row(f.name, Line(x, y).String())
	}
	p.line("")
}

func median(d []time.Duration) time.Duration {
	s := slices.Sorted(slices.Values(d))
	return s[len(s)/2]
}

func number(v float64) string { return fmt.Sprintf("%.1f", v) }

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func kilobytes(bytes float64) string { return fmt.Sprintf("%.0f KB", bytes/1024) }
