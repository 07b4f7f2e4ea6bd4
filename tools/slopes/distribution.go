package slopes

import (
	"fmt"
	"time"

	"carobspoke.example/core/process/distribution"
)

// restartChanges is the number of versions published after all daemons started
// at once.
const restartChanges = 10

func distributionTables(p *printer, o Options) {
	p.line("### Distribution of manifests")
	p.line("")
	p.line("22,000 changes a day. Sent and received together; announcements ride on gossip and are counted there. Calls are those of the whole fleet at the configuration service.")
	p.line("")
	p.header("daemons", "run", "calls/s, mean", "calls, highest second", "B/s of the mean daemon", "B/s of the busiest", "msg/s", "in force at half", "at 99 in 100", "at the last", "CPU/s of one")
	bytes := make([]float64, 0, len(o.Sizes))
	calls := make([]float64, 0, len(o.Sizes))
	for _, n := range o.Sizes {
		m := distributionRow(p, n, "steady", distribution.DefaultMeasureConfig(n))
		bytes = append(bytes, m.BytesMean)
		calls = append(calls, m.CallsMean)
		restart := distribution.DefaultMeasureConfig(n)
		restart.Restart = true
		restart.Changes = restartChanges
		distributionRow(p, n, "all start at once", restart)
	}
	p.line("")
	x := floats(o.Sizes)
	p.line("Fit over daemons, steady: B/s of the mean daemon %s; calls/s of the fleet %s.", FitLine(x, bytes), FitLine(x, calls))
	p.line("")
}

func distributionRow(p *printer, n int, name string, c distribution.MeasureConfig) distribution.Measurement {
	start := processorTime()
	m := distribution.Measure(c)
	used := time.Duration(float64(processorTime()-start) / m.Virtual.Seconds() / float64(n))
	p.row(fmt.Sprint(n), name, formatNumber(m.CallsMean), fmt.Sprint(m.CallsPeak),
		formatNumber(m.BytesMean), formatNumber(m.BytesMax), formatNumber(m.MessagesMean),
		formatSeconds(m.BehindHalf), formatSeconds(m.BehindP99), formatSeconds(m.BehindLast), used.String())
	return m
}
