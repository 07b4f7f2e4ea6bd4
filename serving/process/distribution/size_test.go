package distribution

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"carobspoke.example/core/names"
	core "carobspoke.example/core/process/distribution"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/pages"
	"carobspoke.example/serving/peerpb"
	"google.golang.org/protobuf/proto"
)

// TestChangeMessagesFitAssumedSize checks that the messages between daemons for
// one changed customer of a full-size manifest are not larger than
// core.DefaultMeasureConfig assumes.
func TestChangeMessagesFitAssumedSize(t *testing.T) {
	old := sizedManifest(1, 3600, 6200)
	next := sizedManifest(2, 3600, 6200)
	next.Customers[1800].TokensPerSecond = 1e6
	d := &Distributor{store: pages.NewStore(MaxHistoryBytes)}
	var digests []names.Digest
	for _, m := range []*manifest.Manifest{old, next} {
		p, err := pages.Pack(m, testKey)
		if err != nil {
			t.Fatal(err)
		}
		d.store.AddRoot(p.Root)
		for _, page := range p.Pages {
			d.store.AddPage(page.Ref, page.Data)
		}
		d.store.Commit(p.Root)
		digests = append(digests, p.Root.Digest)
	}
	request := &peerpb.RootRequest{Format: messageFormat, Digest: string(digests[1]), Have: string(digests[0])}
	reply := d.rootReply(digests[1], digests[0])
	size := proto.Size(request) + proto.Size(reply)
	t.Logf("request %d bytes, reply %d bytes", proto.Size(request), proto.Size(reply))
	if assumed := core.DefaultMeasureConfig(1).ChangeBytes; size > assumed || len(reply.GetPages()) != 1 {
		t.Fatalf("change takes %d bytes, assumed at most %d; %d pages", size, assumed, len(reply.GetPages()))
	}
}

// sizedManifest returns a manifest with the given numbers of customers and
// engines.
func sizedManifest(v names.Version, customers, engines int) *manifest.Manifest {
	m := sampleManifest(v)
	engine := m.Targets[0]
	m.Targets = nil
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{
			Name:       names.Customer(fmt.Sprintf("customer-%05d", i)),
			KeyDigests: []names.Digest{pages.DigestOf(fmt.Append(nil, i))}, Models: []names.Model{"draft"},
		})
	}
	for i := range engines {
		t := engine
		t.Name = names.Target(fmt.Sprintf("engine-%05d", i))
		t.Address = fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		m.Targets = append(m.Targets, t)
	}
	return m
}

// TestMemoryOfVersionInForce checks that a full-size version in force takes at
// most 32 MiB of heap: its pages, its decoded form and its index.
func TestMemoryOfVersionInForce(t *testing.T) {
	p, err := pages.Pack(sizedManifest(1, 3600, 6200), testKey)
	if err != nil {
		t.Fatal(err)
	}
	before := heapBytes()
	store := pages.NewStore(MaxHistoryBytes)
	store.AddRoot(p.Root)
	for _, page := range p.Pages {
		store.AddPage(page.Ref, bytes.Clone(page.Data))
	}
	store.Commit(p.Root)
	var assembler pages.Assembler
	m, err := assembler.Assemble(p.Root, store.Page)
	if err != nil {
		t.Fatal(err)
	}
	index := manifest.NewIndex(m)
	after := heapBytes()
	runtime.KeepAlive(store)
	runtime.KeepAlive(index)
	runtime.KeepAlive(&assembler)
	used := int64(after) - int64(before) //nolint:gosec // heap sizes are far below 2^63
	t.Logf("%d bytes of heap", used)
	if used > 32<<20 {
		t.Fatalf("version takes %d bytes of heap, want at most 32 MiB", used)
	}
}

// heapBytes returns the bytes of live objects in the heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
