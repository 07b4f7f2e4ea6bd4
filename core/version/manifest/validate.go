package manifest

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Limits of a valid manifest.
const (
	// MaxVersion bounds versions, so that a target which reports a corrupt
	// fencing token cannot exhaust the version numbers above it.
	MaxVersion names.Version = 1 << 53
	// MaxNameBytes bounds the length of a name, in bytes.
	MaxNameBytes = 128
	// MaxKeysPerCustomer bounds the number of API keys of one customer.
	MaxKeysPerCustomer = 64
	// digestBytes is the length of a SHA-256 digest, in bytes.
	digestBytes = 32
)

// Validate returns every problem of the manifest, in the order of its fields.
// The publication pipeline and the daemons share it: a daemon puts a manifest in
// force only if it has no problems.
func (m *Manifest) Validate() []Problem {
	v := newValidator(m)
	v.header()
	v.fleet()
	v.policy()
	v.models()
	v.services()
	v.customers()
	v.targets()
	v.departures()
	return v.problems
}

// validator collects problems and the declared names that references are
// checked against.
type validator struct {
	m               *Manifest
	problems        []Problem
	centreSet       map[names.DataCentre]bool
	modelSet        map[names.Model]*Model
	serviceSet      map[names.Service]bool
	targetSet       map[names.Target]bool
	keyOwners       map[names.Digest]names.Customer
	targetByAddress map[string]*Target
}

func newValidator(m *Manifest) *validator {
	v := &validator{
		m:               m,
		centreSet:       map[names.DataCentre]bool{},
		modelSet:        map[names.Model]*Model{},
		serviceSet:      map[names.Service]bool{},
		targetSet:       map[names.Target]bool{},
		keyOwners:       map[names.Digest]names.Customer{},
		targetByAddress: map[string]*Target{},
	}
	return v
}

func (v *validator) add(path, expected, found string) {
	v.problems = append(v.problems, Problem{Path: path, Expected: expected, Found: found})
}

func (v *validator) header() {
	if v.m.Schema != Schema {
		v.add("schema", strconv.Itoa(Schema), strconv.Itoa(v.m.Schema))
	}
	if v.m.Version == 0 || v.m.Version > MaxVersion {
		v.add("version", fmt.Sprintf("a number from 1 to %d", MaxVersion), strconv.FormatUint(uint64(v.m.Version), 10))
	}
}

func (v *validator) fleet() {
	if v.m.Fleet.ExpectedDaemons < 1 {
		v.add("fleet.expected_daemons", "at least 1", strconv.Itoa(v.m.Fleet.ExpectedDaemons))
	}
	for i, d := range v.m.Fleet.DataCentres {
		path := elementPath("fleet.data_centres", i)
		checkUniqueName(v, v.centreSet, path+".name", d.Name)
		v.checkName(path+".region", string(d.Region))
	}
}

func (v *validator) policy() {
	v.checkFraction("policy.retry_budget", v.m.Policy.RetryBudget)
	v.checkFraction("policy.short_reserve", v.m.Policy.ShortReserve)
	if v.m.Policy.Keepers < 0 {
		v.add("policy.keepers", "zero or more", strconv.Itoa(v.m.Policy.Keepers))
	}
}

func (v *validator) models() {
	seen := map[names.Model]bool{}
	for i := range v.m.Models {
		model := &v.m.Models[i]
		path := elementPath("models", i)
		checkUniqueName(v, seen, path+".name", model.Name)
		v.modelSet[model.Name] = model
		v.modelVersions(path, model)
		adapters := map[names.Adapter]bool{}
		for j, adapter := range model.Adapters {
			checkUniqueName(v, adapters, elementPath(path+".adapters", j), adapter)
		}
	}
}

func (v *validator) modelVersions(path string, model *Model) {
	if len(model.Versions) == 0 {
		v.add(path+".versions", "at least one version", "none")
	}
	seen := map[string]bool{}
	for j, version := range model.Versions {
		checkUniqueName(v, seen, elementPath(path+".versions", j)+".name", version.Name)
		if version.WeightBytes < 0 {
			v.add(elementPath(path+".versions", j)+".weight_bytes", "zero or more", strconv.FormatInt(version.WeightBytes, 10))
		}
	}
}

func (v *validator) services() {
	for i, service := range v.m.Services {
		checkUniqueName(v, v.serviceSet, elementPath("services", i)+".name", service.Name)
	}
}

func (v *validator) customers() {
	seen := map[names.Customer]bool{}
	for i := range v.m.Customers {
		c := &v.m.Customers[i]
		path := elementPath("customers", i)
		checkUniqueName(v, seen, path+".name", c.Name)
		v.customerKeys(path, c)
		v.checkNotNegative(path+".tokens_per_second", c.TokensPerSecond)
		v.checkNotNegative(path+".share", c.Share)
		if c.MaxPriority < 0 {
			v.add(path+".max_priority", "zero or more", strconv.Itoa(c.MaxPriority))
		}
		for j, model := range c.Models {
			if v.modelSet[model] == nil {
				v.add(elementPath(path+".models", j), "a model of this manifest", quote(model))
			}
		}
		for j, service := range c.Services {
			if !v.serviceSet[service] {
				v.add(elementPath(path+".services", j), "a service of this manifest", quote(service))
			}
		}
	}
}

func (v *validator) customerKeys(path string, c *Customer) {
	if len(c.KeyDigests) > MaxKeysPerCustomer {
		v.add(path+".key_digests", fmt.Sprintf("at most %d keys", MaxKeysPerCustomer), strconv.Itoa(len(c.KeyDigests)))
	}
	for j, key := range c.KeyDigests {
		keyPath := elementPath(path+".key_digests", j)
		if !validDigest(key) {
			v.add(keyPath, "a SHA-256 digest of 64 lower-case hexadecimal digits", fmt.Sprintf("%d characters", len(key)))
			continue
		}
		if owner, taken := v.keyOwners[key]; taken {
			v.add(keyPath, "a key that no other entry has", "a key of customer "+quote(owner))
		}
		v.keyOwners[key] = c.Name
	}
}

func (v *validator) targets() {
	for i := range v.m.Targets {
		t := &v.m.Targets[i]
		path := elementPath("targets", i)
		checkUniqueName(v, v.targetSet, path+".name", t.Name)
		v.targetAddress(path, t)
		if !v.centreSet[t.DataCentre] {
			v.add(path+".data_centre", "a data centre of fleet.data_centres", quote(t.DataCentre))
		}
		if t.Service != "" {
			v.serviceTarget(path, t)
			continue
		}
		v.engine(path, t)
	}
}

func (v *validator) targetAddress(path string, t *Target) {
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		v.add(path+".address", "an IP number and port such as 10.0.0.1:8000", quote(t.Address))
		return
	}
	if other := v.targetByAddress[t.Address]; other != nil && !mayShareAddress(t, other) {
		v.add(path+".address", "an address that no other target has", "the address of target "+quote(other.Name))
	}
	v.targetByAddress[t.Address] = t
}

// mayShareAddress reports whether two targets may be one process: a process may
// be a replica of several plain services, but of each only once.
func mayShareAddress(a, b *Target) bool {
	return a.Service != "" && b.Service != "" && a.Service != b.Service
}

func (v *validator) serviceTarget(path string, t *Target) {
	if !v.serviceSet[t.Service] {
		v.add(path+".service", "a service of this manifest", quote(t.Service))
	}
	if t.Want.Model != "" {
		v.add(path+".want.model", "none for a plain service", quote(t.Want.Model))
	}
}

func (v *validator) engine(path string, t *Target) {
	v.engineState(path+".want", t.Want)
	if t.MemoryBlocks < 1 {
		v.add(path+".memory_blocks", "at least 1", strconv.Itoa(t.MemoryBlocks))
	}
	if t.BlockTokens < 1 {
		v.add(path+".block_tokens", "at least 1", strconv.Itoa(t.BlockTokens))
	}
	v.checkNotNegative(path+".prefill_rate", t.PrefillRate)
}

func (v *validator) engineState(path string, want target.State) {
	switch want.Role {
	case "", target.Mixed, target.Prefill, target.Decode:
	default:
		v.add(path+".role", "mixed, prefill or decode", quote(want.Role))
	}
	model := v.modelSet[want.Model]
	if model == nil {
		v.add(path+".model", "a model of this manifest", quote(want.Model))
		return
	}
	if !model.hasVersion(want.Version) {
		v.add(path+".version", "a version of model "+quote(want.Model), quote(want.Version))
	}
	seen := map[names.Adapter]bool{}
	for j, adapter := range want.Adapters {
		if !model.hasAdapter(adapter) {
			v.add(elementPath(path+".adapters", j), "an adapter of model "+quote(want.Model), quote(adapter))
		}
		checkUniqueName(v, seen, elementPath(path+".adapters", j), adapter)
	}
}

func (v *validator) departures() {
	seen := map[names.Target]bool{}
	for i, d := range v.m.Departures {
		path := elementPath("departures", i)
		if !v.targetSet[d.Target] {
			v.add(path+".target", "a target of this manifest", quote(d.Target))
		}
		if seen[d.Target] {
			v.add(path+".target", "one departure for each target", quote(d.Target)+" again")
		}
		seen[d.Target] = true
		if d.At.IsZero() {
			v.add(path+".at", "a time such as 2026-01-31T18:00:00Z", "none")
		}
	}
}

func (v *validator) checkName(path, name string) {
	if !validName(name) {
		v.add(path, fmt.Sprintf("a name of 1 to %d letters, digits or ._-:/", MaxNameBytes), strconv.Quote(name))
	}
}

func (v *validator) checkFraction(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.add(path, "a share from 0 to 1", formatNumber(value))
	}
}

func (v *validator) checkNotNegative(path string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		v.add(path, "a finite number, zero or more", formatNumber(value))
	}
}

// checkUniqueName checks that a name is valid and not in seen, and adds it to
// seen.
func checkUniqueName[N ~string](v *validator, seen map[N]bool, path string, name N) {
	v.checkName(path, string(name))
	if seen[name] {
		v.add(path, "a name that no other entry has", quote(name)+" again")
	}
	seen[name] = true
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if !validNameByte(c) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '.' || c == '_' || c == '-' || c == ':' || c == '/'
	}
}

func validDigest(d names.Digest) bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == digestBytes && hex.EncodeToString(raw) == string(d)
}

func (m *Model) hasVersion(name string) bool {
	for _, version := range m.Versions {
		if version.Name == name {
			return true
		}
	}
	return false
}

func (m *Model) hasAdapter(name names.Adapter) bool {
	for _, adapter := range m.Adapters {
		if adapter == name {
			return true
		}
	}
	return false
}

func elementPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func quote[N ~string](name N) string { return strconv.Quote(string(name)) }

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
