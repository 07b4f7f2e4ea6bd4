package published

import (
	"bytes"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"github.com/pkg/errors"
)

// VersionReader is a Decoder that reads versions of configurations without decoding them. All
// configurations of a batch are decoded by another one.
type VersionReader interface {
	// VersionOf returns the version that a record of the configuration holds, and false if it
	// is not known. The record may be invalid all the same.
	VersionOf(r *Record) (names.Version, bool)
}

// known is what a daemon knows of the configuration before it decodes a batch.
type known struct {
	// inForce is the record of the configuration in force, version its version. Both are zero
	// if there is none.
	inForce Record
	version names.Version
	// unusable is the later record that cannot be decoded, or nil.
	unusable *Record
}

// errStillUnusable is the error of a record that is known to be unusable.
var errStillUnusable = errors.New("published: the record has the value of one that cannot be decoded")

// content is what a record holds, as far as it was decoded.
type content struct {
	// skipped is true for a configuration that was not decoded, since it would not come
	// into force.
	skipped bool
	// inForce is true for the configuration that was in force before the batch.
	inForce bool
	target  *replicas.Target
	// holdsConfig is true for a configuration, with its version and number of routes.
	holdsConfig bool
	version     names.Version
	routes      int
	// table is nil for a configuration that is not newer than that in force, or invalid.
	table *routing.Table
	// err is the error of the decoder, invalid that of the table.
	err, invalid error
}

// outcome returns what the content says about a record of the configuration.
func (c *content) outcome() routing.Published {
	if c.err != nil || c.invalid != nil || !c.holdsConfig {
		return routing.Published{Version: c.version, Outcome: routing.Unusable}
	}
	return routing.Published{Version: c.version, Outcome: routing.Valid}
}

// decodeBatch decodes records that are sorted by revision. Of the configurations it decodes
// those that routing.NextToDecode selects.
func (f *Follower) decodeBatch(records []Record, k known) []content {
	contents := make([]content, len(records))
	configs := make(map[string][]int)
	for i := range records {
		r := &records[i]
		_, isEvacuation := f.decoder.EvacuationOf(r.Key)
		_, isTarget := f.decoder.TargetOf(r.Key)
		switch {
		case r.Deleted || isEvacuation:
		case isTarget:
			_, contents[i].target, contents[i].err = f.decoder.Decode(r)
		default:
			configs[r.Key] = append(configs[r.Key], i)
		}
	}
	for _, indexes := range configs {
		f.decodeConfigs(records, indexes, contents, k)
	}
	return contents
}

// decodeConfigs sets the contents of the records with the indexes, which have the same key.
func (f *Follower) decodeConfigs(records []Record, indexes []int, contents []content, k known) {
	published := make([]routing.Published, len(indexes))
	for n, i := range indexes {
		c, ok := k.contentOf(&records[i])
		contents[i] = c
		switch {
		case ok:
			published[n] = c.outcome()
		case len(indexes) > 1:
			published[n].Version = f.versionOf(&records[i])
		}
	}
	for n := routing.NextToDecode(published, k.version); n >= 0; n = routing.NextToDecode(published, k.version) {
		c := f.decodeConfig(&records[indexes[n]], routing.NewestValid(published, k.version))
		contents[indexes[n]], published[n] = c, c.outcome()
	}
}

// contentOf returns the content of a record whose value was decoded before, else one that is
// skipped, and whether it was.
func (k *known) contentOf(r *Record) (content, bool) {
	switch {
	case k.version > 0 && r.Key == k.inForce.Key && bytes.Equal(r.Value, k.inForce.Value):
		return content{inForce: true, holdsConfig: true, version: k.version}, true
	case k.unusable != nil && r.Key == k.unusable.Key && bytes.Equal(r.Value, k.unusable.Value):
		return content{err: errStillUnusable}, true
	}
	return content{skipped: true}, false
}

// versionOf returns the version of a record of the configuration, zero if it is not known.
func (f *Follower) versionOf(r *Record) names.Version {
	reader, ok := f.decoder.(VersionReader)
	if !ok {
		return 0
	}
	version, _ := reader.VersionOf(r)
	return version
}

// isReplacedVersion reports whether a record is known to hold no newer version than the one in
// force, so that it needs no decoding. A version in force of zero is none.
func (f *Follower) isReplacedVersion(r *Record, inForce names.Version) bool {
	version := f.versionOf(r)
	return version > 0 && version <= inForce
}

// decodeConfig decodes a record of the configuration, and indexes it if it is newer than a
// version.
func (f *Follower) decodeConfig(r *Record, newerThan names.Version) content {
	config, _, err := f.decoder.Decode(r)
	if err != nil || config == nil {
		return content{err: err}
	}
	c := content{holdsConfig: true, version: config.Version, routes: len(config.Routes)}
	if config.Version > newerThan || newerThan == 0 {
		c.table, c.invalid = routing.NewTable(config)
	}
	if c.invalid != nil {
		c.table = nil // NewTable returns one with an error, too
	}
	return c
}
