package slopes

import (
	"fmt"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/membership/fakenet"
	"carobspoke.example/core/process/subset"
)

func members(n int) []membership.Member {
	c := membershipConfig()
	list := make([]membership.Member, 0, n)
	for i := range n {
		dc := fakenet.DataCentre(i, dataCentres)
		list = append(list, membership.Member{Host: fakenet.Host(i), DataCentre: dc, Region: c.Regions[dc]})
	}
	slices.SortFunc(list, func(a, b membership.Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return list
}

func targetLocations(n int) []subset.TargetLocation {
	list := make([]subset.TargetLocation, 0, n)
	for i := range n {
		list = append(list, subset.TargetLocation{
			Target:     names.Target(fmt.Sprint("replica-", i)),
			DataCentre: fakenet.DataCentre(i, dataCentres),
		})
	}
	return list
}

func subsetTables(p *printer, o Options) {
	p.line("### Keepers of targets")
	p.line("")
	p.line("Least movement is what the departed daemon kept, or the newcomer's part by the mean. CPU is for one assignment of all targets.")
	p.line("")
	p.header("daemons", "targets", "keepers of each", "kept by one: mean", "p99", "max", "p99/mean", "max/mean", "moved by a departure", "least", "moved by an arrival", "least", "CPU")
	x := make([]float64, 0, len(o.Sizes))
	y := make([]float64, 0, len(o.Sizes))
	for i, n := range o.Sizes {
		cpu := subsetRow(p, n, o.Targets[i])
		x = append(x, float64(n)*float64(o.Targets[i]))
		y = append(y, float64(cpu))
	}
	p.line("")
	p.line("Fit of CPU in ns over daemons × targets: %s.", FitLine(x, y))
	p.line("")
}

func subsetRow(p *printer, n, targets int) time.Duration {
	list, all := members(n), targetLocations(targets)
	k := subset.KeeperCount(n, targets)
	imbalance := subset.MeasureImbalance(list, all, k)
	cpu := processorTime()
	before := subset.Assign(list, all, k)
	cpu = processorTime() - cpu
	remaining := slices.Delete(slices.Clone(list), n/2, n/2+1)
	departure := subset.CountMoved(before, subset.Assign(remaining, all, min(k, n-1)))
	keptByDeparted := 0
	for _, keepers := range before {
		if slices.ContainsFunc(keepers, func(m membership.Member) bool { return m.Host == list[n/2].Host }) {
			keptByDeparted++
		}
	}
	if k == n {
		keptByDeparted = 0
	}
	arrival := subset.CountMoved(subset.Assign(remaining, all, min(k, n-1)), before)
	p.row(fmt.Sprint(n), fmt.Sprint(targets), fmt.Sprint(k), formatNumber(imbalance.Mean), fmt.Sprint(imbalance.P99), fmt.Sprint(imbalance.Max),
		fmt.Sprintf("%.2f", float64(imbalance.P99)/imbalance.Mean), fmt.Sprintf("%.2f", float64(imbalance.Max)/imbalance.Mean),
		fmt.Sprint(departure), fmt.Sprint(keptByDeparted), fmt.Sprint(arrival), formatNumber(imbalance.Mean), cpu.Round(time.Microsecond).String())
	return cpu
}
