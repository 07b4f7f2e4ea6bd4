package pages

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
	"github.com/pkg/errors"
)

func testKey(seed byte) (ed25519.PrivateKey, []ed25519.PublicKey) {
	key := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{seed}, ed25519.SeedSize))
	return key, []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
}

// newManifest returns a manifest with the given numbers of customers and engines.
func newManifest(version names.Version, customers, engines int) *manifest.Manifest {
	m := &manifest.Manifest{Schema: manifest.Schema, Version: version}
	m.Fleet.ExpectedDaemons = 9
	m.Fleet.DataCentres = []manifest.DataCentreRegion{{Name: "a", Region: "r"}}
	m.Models = []manifest.Model{{Name: "draft", Versions: []manifest.ModelVersion{{Name: "v1"}, {Name: "v2"}}}}
	for i := range customers {
		m.Customers = append(m.Customers, manifest.Customer{
			Name:       names.Customer(fmt.Sprintf("customer-%05d", i)),
			KeyDigests: []names.Digest{DigestOf(fmt.Append(nil, i))},
			Models:     []names.Model{"draft"},
		})
	}
	for i := range engines {
		m.Targets = append(m.Targets, manifest.Target{
			Name:       names.Target(fmt.Sprintf("engine-%05d", i)),
			Address:    fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			DataCentre: "a", MemoryBlocks: 1000, BlockTokens: 16,
			Want: target.State{Model: "draft", Version: "v1", Role: target.Mixed},
		})
	}
	m.Departures = []manifest.Departure{{Target: "engine-00001", At: time.Unix(1800000000, 0).UTC()}}
	return m
}

func pack(t testing.TB, m *manifest.Manifest) *PackedManifest {
	key, _ := testKey(1)
	p, err := Pack(m, key)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestAssembleReturnsPackedManifest(t *testing.T) {
	m := newManifest(3, 700, 900)
	want := m.Canonical()
	random := rand.New(rand.NewPCG(1, 1))
	random.Shuffle(len(m.Targets), func(i, j int) { m.Targets[i], m.Targets[j] = m.Targets[j], m.Targets[i] })
	p := pack(t, m)
	_, keys := testKey(1)
	root, err := ParseRoot(p.Root.Signed, keys)
	if err != nil || root.Digest != p.Root.Digest {
		t.Fatalf("root %v: %v", root, err)
	}
	got, err := Assemble(root, p.Page)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("assembled manifest differs from the packed one: %v", err)
	}
}

// TestOneChangePublishesFewBytes changes, adds or removes one entry and compares
// the bytes published for it with the size of the whole manifest.
func TestOneChangePublishesFewBytes(t *testing.T) {
	old := pack(t, newManifest(1, 3600, 6200))
	manifestBytes := 0
	for _, page := range old.Pages {
		manifestBytes += page.Ref.Bytes
	}
	edits := map[string]func(m *manifest.Manifest){
		"changed": func(m *manifest.Manifest) { m.Customers[1800].TokensPerSecond = 5 },
		"added": func(m *manifest.Manifest) {
			m.Customers = append(m.Customers, manifest.Customer{Name: "customer-01800-new"})
		},
		"removed": func(m *manifest.Manifest) { m.Customers = append(m.Customers[:1800], m.Customers[1801:]...) },
	}
	for name, edit := range edits {
		m := newManifest(2, 3600, 6200)
		edit(m)
		next := pack(t, m)
		values, err := ValuesToPublish(old, next)
		if err != nil {
			t.Fatal(err)
		}
		published := len(values[len(values)-1].Data)
		bytes := NewDelta("", old.Root.Signed, "", next.Root.Signed).InsertedBytes()
		for _, d := range Deltas(old, next) {
			bytes += d.InsertedBytes()
		}
		t.Logf("%s: manifest %d bytes in %d pages, root %d, publication %d, deltas of root and pages %d, values written %d",
			name, manifestBytes, len(next.Pages), len(next.Root.Signed), published, bytes, len(values))
		if len(values) > 3 || published > manifestBytes/100 || bytes > manifestBytes/1000 {
			t.Fatalf("%s: %d values published, deltas have %d bytes, manifest has %d", name, len(values), bytes, manifestBytes)
		}
		if last := values[len(values)-1]; last.Key != RootKey {
			t.Fatalf("%s: the root is not the last value published", name)
		}
	}
}

func TestDeltasReproduceNextVersion(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	old := pack(t, newManifest(1, 500, 500))
	for version := names.Version(2); version < 30; version++ {
		m := newManifest(version, 400+random.IntN(200), 400+random.IntN(200))
		m.Targets[random.IntN(len(m.Targets))].Want.Version = "v2"
		next := pack(t, m)
		for _, d := range Deltas(old, next) {
			before, _ := old.Page(d.From)
			after, _ := next.Page(d.To)
			got, err := d.Apply(before)
			if err != nil || !bytes.Equal(got, after) {
				t.Fatalf("version %d: %v", version, err)
			}
		}
		old = next
	}
}

func TestTamperedBytesAreRefused(t *testing.T) {
	p := pack(t, newManifest(4, 300, 300))
	other := pack(t, newManifest(5, 301, 300))
	_, keys := testKey(1)
	_, otherKeys := testKey(2)
	if _, err := ParseRoot(p.Root.Signed, otherKeys); !errors.Is(err, ErrUntrusted) {
		t.Fatalf("root signed with another key: %v", err)
	}
	forged := bytes.Replace(p.Root.Signed, []byte(" 1 1 4\n"), []byte(" 1 1 9\n"), 1)
	if _, err := ParseRoot(forged, keys); !errors.Is(err, ErrUntrusted) {
		t.Fatalf("root with a forged version: %v", err)
	}
	tampered := func(d names.Digest) ([]byte, bool) {
		data, found := p.Page(d)
		if found && d == p.Pages[2].Ref.Digest {
			return bytes.Replace(data, []byte("draft"), []byte("chaff"), 1), true
		}
		return data, found
	}
	if _, err := Assemble(p.Root, tampered); !errors.Is(err, ErrUntrusted) {
		t.Fatalf("page with altered data: %v", err)
	}
	if _, err := Assemble(other.Root, p.Page); !errors.Is(err, ErrUntrusted) {
		t.Fatalf("page missing: %v", err)
	}
}

func TestSignedInvalidVersionIsRefused(t *testing.T) {
	key, keys := testKey(1)
	data := []byte(`{"name":"a","address":"10.0.0.1:80","data_centre":"nowhere"}` + "\n")
	page := newPage(Targets, "", data)
	roots := map[string]*Root{
		"unknown data centre": {Format: Format, Schema: manifest.Schema, Version: 1, Pages: []Ref{page.Ref}},
		"newer schema":        {Format: Format, Schema: manifest.Schema + 1, Version: 1},
		"version zero":        {Format: Format, Schema: manifest.Schema},
		"page twice":          {Format: Format, Schema: manifest.Schema, Version: 1, Pages: []Ref{page.Ref, page.Ref}},
		"huge page": {
			Format: Format, Schema: manifest.Schema, Version: 1,
			Pages: []Ref{{Section: Targets, Digest: page.Ref.Digest, Bytes: MaxPageBytes + 1}},
		},
	}
	for name, r := range roots {
		if err := signRoot(r, key); err != nil {
			t.Fatal(err)
		}
		parsed, err := ParseRoot(r.Signed, keys)
		if err == nil {
			_, err = Assemble(parsed, func(names.Digest) ([]byte, bool) { return data, true })
		}
		if !errors.Is(err, ErrInvalidManifest) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzParseRoot(f *testing.F) {
	key, keys := testKey(1)
	f.Add([]byte(rootMagic + " 1 1 1\n"))
	f.Add(bytes.SplitN(pack(f, newManifest(1, 2, 2)).Root.Signed, []byte("\n"), 2)[1])
	f.Fuzz(func(t *testing.T, payload []byte) {
		if _, err := ParseRoot(payload, keys); err == nil {
			t.Fatal("unsigned root was accepted")
		}
		signature := ed25519.Sign(key, append([]byte(signatureContext), payload...))
		signed := append([]byte(encodeSignature(signature)+"\n"), payload...)
		r, err := ParseRoot(signed, keys)
		if err != nil {
			return
		}
		if r.Version == 0 || len(r.Pages) > MaxPages {
			t.Fatalf("invalid root was accepted: %+v", r)
		}
	})
}

func FuzzDecodePage(f *testing.F) {
	for _, page := range pack(f, newManifest(1, 2, 2)).Pages {
		f.Add(string(page.Ref.Section), page.Data)
	}
	f.Fuzz(func(_ *testing.T, section string, data []byte) {
		decoded, err := decodePage(Section(section), data)
		if err != nil {
			return
		}
		var m manifest.Manifest
		decoded.addTo(&m)
		m.Validate()
	})
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte("a\nb\nc\n"), []byte("b\nx\na"), 1, 1, []byte("x"))
	f.Fuzz(func(t *testing.T, old, next []byte, offset, length int, insert []byte) {
		d := NewDelta(DigestOf(old), old, DigestOf(next), next)
		if got, err := d.Apply(old); err != nil && len(next) <= MaxPageBytes || err == nil && !bytes.Equal(got, next) {
			t.Fatalf("delta of %q and %q: %v", old, next, err)
		}
		arbitrary := Delta{To: d.To, Ops: []Op{{Offset: offset, Length: length, Insert: insert}}}
		if got, err := arbitrary.Apply(old); err == nil && !bytes.Equal(got, next) {
			t.Fatal("delta with a wrong result was accepted")
		}
	})
}

// BenchmarkAssembleChange measures the assembly of a version in which one customer
// of 3,600 changed, and the building of its index.
func BenchmarkAssembleChange(b *testing.B) {
	first, changed := newManifest(1, 3600, 6200), newManifest(2, 3600, 6200)
	changed.Customers[1800].TokensPerSecond = 5
	versions := []*PackedManifest{pack(b, first), pack(b, changed)}
	var a Assembler
	for i := 0; b.Loop(); i++ {
		p := versions[i%2]
		m, err := a.Assemble(p.Root, p.Page)
		if err != nil {
			b.Fatal(err)
		}
		manifest.NewIndex(m)
	}
}
