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
			formatNumber(c.quiet.bytes), formatNumber(c.quiet.messages), c.quiet.processor.String(),
			formatNumber(c.busy.bytes), formatNumber(c.busy.messages), c.busy.processor.String(),
			formatNumber(c.partitionRates.bytes), c.partitionRates.processor.String(),
			fmt.Sprint(c.formPeak), fmt.Sprint(c.mergePeak), formatKilobytes(c.heapPerMember))
	}
	p.line("")
}

func timeTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: times and wrong judgements")
	p.line("")
	p.header("daemons", "all start: all awake", "all start: views complete", "version heard by all", "death: first knows, median", "death: all know, median", "death: all know, longest", "restart: all know, longest", "5% loss: suspicions per member-hour", "5% loss: deaths", "region apart", "merged after", "all waits ended")
	for i, c := range costs {
		p.row(fmt.Sprint(o.Sizes[i]), formatSeconds(c.trustTime), formatSeconds(c.formTime), formatSeconds(c.versionSpread),
			formatSeconds(median(c.firstDetected)), formatSeconds(median(c.allDetected)), formatSeconds(slices.Max(c.allDetected)), formatSeconds(slices.Max(c.rejoined)),
			fmt.Sprintf("%.2f", float64(c.suspicions)/c.memberHours), fmt.Sprint(c.deaths),
			c.partitionTime.String(), formatSeconds(c.mergeTime), fmt.Sprint(c.converged))
	}
	p.line("")
}

func failureTable(p *printer, o Options, costs []fleetCosts) {
	p.line("### Membership: what failures cost each daemon")
	p.line("")
	p.header("daemons", "one daemon replaced: B beyond the quiet rate, mean", "rack of 20 lost: all know", "rack back: all know", "data centre lost: all know", "data centre back: all know", "highest second of a data centre, B sent")
	for i, c := range costs {
		p.row(fmt.Sprint(o.Sizes[i]), formatNumber(mean(c.replacementBytes)),
			formatSeconds(c.rack.allDetected), formatSeconds(c.rack.recovered), formatSeconds(c.outage.allDetected), formatSeconds(c.outage.recovered), fmt.Sprint(c.outage.peak))
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
		name  string
		value func(fleetCosts) float64
	}{
		{"quiet B/s", func(c fleetCosts) float64 { return c.quiet.bytes }},
		{"busy B/s", func(c fleetCosts) float64 { return c.busy.bytes }},
		{"busy messages/s", func(c fleetCosts) float64 { return c.busy.messages }},
		{"busy CPU, fraction of a core", func(c fleetCosts) float64 { return c.busy.processor.Seconds() }},
		{"apart CPU, fraction of a core", func(c fleetCosts) float64 { return c.partitionRates.processor.Seconds() }},
		{"heap, bytes", func(c fleetCosts) float64 { return c.heapPerMember }},
		{"views complete after a common start, s", func(c fleetCosts) float64 { return c.formTime.Seconds() }},
		{"death known by all, s", func(c fleetCosts) float64 { return median(c.allDetected).Seconds() }},
		{"one daemon replaced, B", func(c fleetCosts) float64 { return mean(c.replacementBytes) }},
		{"data centre lost, known by all, s", func(c fleetCosts) float64 { return c.outage.allDetected.Seconds() }},
		{"merged, s", func(c fleetCosts) float64 { return c.mergeTime.Seconds() }},
	}
	x := floats(o.Sizes)
	for _, f := range fits {
		y := make([]float64, 0, len(costs))
		for _, c := range costs {
			y = append(y, f.value(c))
		}
		p.row(f.name, FitLine(x, y).String())
	}
	p.line("")
}

func median(d []time.Duration) time.Duration {
	s := slices.Sorted(slices.Values(d))
	return s[len(s)/2]
}

func formatNumber(v float64) string { return fmt.Sprintf("%.1f", v) }

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

func formatKilobytes(bytes float64) string { return fmt.Sprintf("%.0f KB", bytes/1024) }
