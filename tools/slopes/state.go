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

// models is the number of models in steady use.
const models = 10

// stateTables measures the heap of tables that a daemon holds, and the
// processor time of one assignment, at each size.
func stateTables(p *printer, o Options) {
	p.line("### State of one daemon")
	p.line("")
	p.header("daemons", "targets", "customers", "manifest", "assignment", "CPU of one assignment", "quota buckets, all customers")
	x := floats(o.Targets)
	sizes := make([]float64, 0, len(x))
	for i, n := range o.Sizes {
		m := fullManifest(o.Targets[i], o.Customers[i])
		size := heapOf(func() any { return fullManifest(o.Targets[i], o.Customers[i]) })
		a := subset.New(members(n))
		start := processor()
		assignment.Compute(fakeSelf(n), m.Targets, a, 0)
		cpu := processor() - start
		assigned := heapOf(func() any { return assignment.Compute(fakeSelf(n), m.Targets, a, 0) })
		runtime.KeepAlive(m)
		runtime.KeepAlive(a)
		buckets := heapOf(func() any { return quotaBuckets(o.Customers[i], n) })
		sizes = append(sizes, size)
		p.row(fmt.Sprint(n), fmt.Sprint(o.Targets[i]), fmt.Sprint(o.Customers[i]),
			kilobytes(size), kilobytes(assigned), cpu.Round(time.Microsecond).String(), kilobytes(buckets))
	}
	p.line("")
	p.line("Fit of the manifest's heap in bytes over targets, with customers in proportion: %s.", Line(x, sizes))
	p.line("")
	p.line("Tables with a bound of their own, full:")
	p.line("")
	p.header("table", "entries", "heap")
	p.row("prefix index of 32 targets", fmt.Sprint(32*prefix.MaxEntries), kilobytes(heapOf(fullIndex)))
	p.row("crash digests", fmt.Sprint(crash.MaxDigests), kilobytes(heapOf(fullCrashes)))
	p.row("load table of 32 targets, 1,000 in flight", "1032", kilobytes(heapOf(fullLoads)))
	p.row("owned calls, without their answers", fmt.Sprint(calls.DefaultLimits().Owned.Calls), kilobytes(heapOf(fullCalls)))
	p.line("")
}

// heapOf returns the bytes that stay in use for what build returns.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	used := heap() - before
	runtime.KeepAlive(kept)
	return max(0, used)
}

func fakeSelf(n int) names.Host { return members(n)[0].Host }

// fullManifest has targets of ten models in nine data centres.
func fullManifest(targets, customers int) *manifest.Manifest {
	m := &manifest.Manifest{Schema: manifest.Schema, Version: 1}
	for i, place := range places(targets) {
		m.Targets = append(m.Targets, manifest.Target{
			Name: place.Target, DataCentre: place.DataCentre, Address: fmt.Sprintf("10.1.%d.%d:8000", i>>8, i&255),
			Want:         target.State{Model: names.Model(fmt.Sprint("model-", i%models)), Version: fmt.Sprint("v", i%models), Role: target.Mixed},
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
	const targets, flights = 32, 1000
	t := load.New()
	specs := make([]load.Spec, 0, targets)
	for i := range targets {
		specs = append(specs, load.Spec{Name: names.Target(fmt.Sprint("replica-", i)), Want: target.State{Model: "model"}})
	}
	t.SetTargets(specs)
	now := time.Unix(1_700_000_000, 0)
	for i := range flights {
		t.Dispatched(load.Dispatch{ID: fmt.Sprintf("stream-%032d", i), Target: specs[i%targets].Name, Tokens: 1000, Blocks: 100}, now)
	}
	return t
}

func fullCalls() any {
	limits := calls.DefaultLimits().Owned
	t := owned.New(limits)
	for i := range limits.Calls {
		c := owned.Call{
			ID: fmt.Sprintf("t-%032d", i), Customer: names.Customer(fmt.Sprint("customer-", i%models)),
			BodyDigest: names.Digest(fmt.Sprintf("%064d", i)), Expires: 10 * time.Minute,
		}
		t.Begin(c, 0)
	}
	return t
}
