package slopes

import (
	"fmt"
	"runtime"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/assignment"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/process/owned"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/process/quota"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/request/calls"
)

// modelCount is the number of models in steady use.
const modelCount = 10

// stateTables measures the heap used by the tables of a daemon, and the processor
// time of computing one assignment, at each size.
func stateTables(p *printer, o Options) {
	p.line("### State of one daemon")
	p.line("")
	p.header("daemons", "targets", "customers", "manifest", "assignment", "CPU of one assignment", "quota buckets, all customers")
	x := floats(o.Targets)
	sizes := make([]float64, 0, len(x))
	for i, n := range o.Sizes {
		m := fullManifest(o.Targets[i], o.Customers[i])
		size := retainedHeap(func() any { return fullManifest(o.Targets[i], o.Customers[i]) })
		a := subset.New(members(n))
		start := processorTime()
		assignment.Compute(firstHost(n), m.Targets, a, 0)
		cpu := processorTime() - start
		assigned := retainedHeap(func() any { return assignment.Compute(firstHost(n), m.Targets, a, 0) })
		runtime.KeepAlive(m)
		runtime.KeepAlive(a)
		buckets := retainedHeap(func() any { return quotaBuckets(o.Customers[i], n) })
		sizes = append(sizes, size)
		p.row(fmt.Sprint(n), fmt.Sprint(o.Targets[i]), fmt.Sprint(o.Customers[i]),
			formatKilobytes(size), formatKilobytes(assigned), cpu.Round(time.Microsecond).String(), formatKilobytes(buckets))
	}
	p.line("")
	p.line("Fit of the manifest's heap in bytes over targets, with customers in proportion: %s.", FitLine(x, sizes))
	p.line("")
	p.line("Tables with a bound of their own, full:")
	p.line("")
	p.header("table", "entries", "heap")
	p.row("prefix index of 32 targets", fmt.Sprint(32*prefix.MaxEntries), formatKilobytes(retainedHeap(fullIndex)))
	p.row("crash digests", fmt.Sprint(crash.MaxDigests), formatKilobytes(retainedHeap(fullCrashes)))
	p.row("load table of 32 targets, 1,000 in flight", "1032", formatKilobytes(retainedHeap(fullLoads)))
	p.row("owned calls, without their answers", fmt.Sprint(calls.DefaultLimits().Owned.Calls), formatKilobytes(retainedHeap(fullCalls)))
	p.line("")
}

// retainedHeap returns the heap in bytes retained by the result of build.
func retainedHeap(build func() any) float64 {
	before := heapBytes()
	built := build()
	used := heapBytes() - before
	runtime.KeepAlive(built)
	return max(0, used)
}

func firstHost(n int) names.Host { return members(n)[0].Host }

// fullManifest returns a manifest whose targets run ten models in nine data
// centres.
func fullManifest(targets, customers int) *manifest.Manifest {
	m := &manifest.Manifest{Schema: manifest.Schema, Version: 1}
	for i, location := range targetLocations(targets) {
		m.Targets = append(m.Targets, manifest.Target{
			Name: location.Target, DataCentre: location.DataCentre, Address: fmt.Sprintf("10.1.%d.%d:8000", i>>8, i&255),
			Want:         target.State{Model: names.Model(fmt.Sprint("model-", i%modelCount)), Version: fmt.Sprint("v", i%modelCount), Role: target.Mixed},
			MemoryBlocks: 65_536, BlockTokens: 16, PrefillRate: 12_000, ChecksFencing: true,
		})
	}
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{
			Name:            names.Customer(fmt.Sprint("customer-", i)),
			KeyDigests:      []names.Digest{names.Digest(fmt.Sprintf("%064x", i)), names.Digest(fmt.Sprintf("%064x", -i-1))},
			TokensPerSecond: 5000, Share: 1, Models: []names.Model{"model-1", "model-2"},
		})
	}
	return m
}

func quotaBuckets(customers, daemons int) any {
	l := quota.NewLocal()
	now := time.Unix(1_700_000_000, 0)
	for i := range customers {
		l.Admit(names.Customer(fmt.Sprint("customer-", i)), 5000, requestTokens, quota.Fleet{Live: daemons}, now)
	}
	return l
}

func fullIndex() any {
	const targets = 32
	x := prefix.New(func(c names.Customer) string { return string(c) })
	list := make([]names.Target, 0, targets)
	for i := range targets {
		list = append(list, names.Target(fmt.Sprint("replica-", i)))
	}
	x.SetTargets(list)
	for _, t := range list {
		for seq := range uint64(prefix.MaxEntries) {
			x.ApplyEvent(t, target.CacheEvent{Seq: seq + 1, Prefix: seq * 0x9e3779b97f4a7c15, Scope: "scope", Added: true})
		}
	}
	return x
}

func fullCrashes() any {
	t := crash.New()
	now := time.Unix(1_700_000_000, 0)
	for i := range crash.MaxDigests {
		t.Crashed(crash.DigestOf("customer", "model", "", fmt.Sprint(i)), false, now)
	}
	return t
}

func fullLoads() any {
	const targets, inFlight = 32, 1000
	t := load.New()
	specs := make([]load.Spec, 0, targets)
	for i := range targets {
		specs = append(specs, load.Spec{Name: names.Target(fmt.Sprint("replica-", i)), Want: target.State{Model: "model"}})
	}
	t.SetTargets(specs)
	now := time.Unix(1_700_000_000, 0)
	for i := range inFlight {
		t.Dispatched(load.Dispatch{ID: fmt.Sprintf("stream-%032d", i), Target: specs[i%targets].Name, Tokens: 1000, Blocks: 100}, now)
	}
	return t
}

func fullCalls() any {
	limits := calls.DefaultLimits().Owned
	t := owned.New(limits)
	for i := range limits.Calls {
		c := owned.Call{
			ID: fmt.Sprintf("t-%032d", i), Customer: names.Customer(fmt.Sprint("customer-", i%modelCount)),
			BodyDigest: names.Digest(fmt.Sprintf("%064d", i)), Expires: 10 * time.Minute,
		}
		t.Begin(c, 0)
	}
	return t
}
