package distribution

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Maximum numbers of entries in the tables of claims.
const (
	maxClaims   = 8
	maxSources  = 8
	maxRejected = 64
)

// claims are the versions above the one in force that peers or the service
// claim to have, the highest first. Of two contents of one version the lower
// digest goes first, so that daemons that learn of both at once choose the
// same one.
type claims struct {
	list []*claim
	// rejected are versions with invalid content.
	rejected map[VersionID]bool
}

// claim is a version that peers or the service claim to have.
type claim struct {
	id      VersionID
	sources []source
	// atService is true if the root at the service is this version;
	// missingAtService is the number of its pages to be read there.
	atService        bool
	missingAtService int
	// firstSeen is when the version was first reported.
	firstSeen time.Time
	// firstFailure is when a fetch first failed, or zero. A peer that does not
	// have the version yet is no failure.
	firstFailure time.Time
}

// source is a peer that reported a version.
type source struct {
	host names.Host
	// bad is true if the source sent bytes that failed verification. It is
	// not asked again for this version.
	bad bool
	// retryAt is the time from which the source may be tried again.
	retryAt time.Time
}

// add records a claim of a version. The host is empty for the service.
func (c *claims) add(now time.Time, id VersionID, from names.Host) *claim {
	found := c.find(id)
	if found == nil {
		found = &claim{id: id, firstSeen: now}
		c.list = append(c.list, found)
		slices.SortFunc(c.list, compareClaims)
		c.list = c.list[:min(len(c.list), maxClaims)]
	}
	if from != "" {
		found.addSource(from)
	}
	return found
}

// compareClaims orders claims by descending version, then by digest.
func compareClaims(a, b *claim) int {
	return cmp.Or(cmp.Compare(b.id.Version, a.id.Version), cmp.Compare(a.id.Digest, b.id.Digest))
}

func (c *claims) find(id VersionID) *claim {
	for _, known := range c.list {
		if known.id == id {
			return known
		}
	}
	return nil
}

// above returns the claims above a version. It removes claims whose first
// failure is at least ttl ago and those whose sources are all bad.
func (c *claims) above(v names.Version, now time.Time, ttl time.Duration) []*claim {
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool {
		expired := !k.firstFailure.IsZero() && now.Sub(k.firstFailure) >= ttl
		return expired || k.allSourcesBad()
	})
	i := slices.IndexFunc(c.list, func(k *claim) bool { return k.id.Version <= v })
	if i < 0 {
		return c.list
	}
	return c.list[:i]
}

// highestOlderThan reports whether the highest claim was first seen more than
// age ago.
func (c *claims) highestOlderThan(now time.Time, age time.Duration) bool {
	return len(c.list) > 0 && now.Sub(c.list[0].firstSeen) > age
}

// removeUpTo removes all claims up to and including a version.
func (c *claims) removeUpTo(upTo names.Version) {
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool { return k.id.Version <= upTo })
}

// reject removes a version with invalid content and records it, so that it is
// not claimed again.
func (c *claims) reject(id VersionID) {
	if len(c.rejected) >= maxRejected {
		clear(c.rejected)
	}
	c.rejected[id] = true
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool { return k.id == id })
}

// recordFailure records that a fetch from a peer failed. The peer is not tried
// again before wait has passed.
func (c *claims) recordFailure(now time.Time, id VersionID, from names.Host, failure Failure, wait time.Duration) {
	k := c.find(id)
	if k == nil {
		return
	}
	if k.firstFailure.IsZero() && failure != NotYet {
		k.firstFailure = now
	}
	for i := range k.sources {
		if k.sources[i].host == from {
			k.sources[i].bad = failure == BadSource
			k.sources[i].retryAt = now.Add(wait)
		}
	}
}

// addSource adds a peer as the first source and evicts the oldest one above
// maxSources.
func (k *claim) addSource(host names.Host) {
	for _, s := range k.sources {
		if s.host == host {
			return
		}
	}
	k.sources = slices.Insert(k.sources, 0, source{host: host})
	k.sources = k.sources[:min(len(k.sources), maxSources)]
}

// nextSource returns the newest source that may be tried now, if any.
func (k *claim) nextSource(now time.Time) (names.Host, bool) {
	for _, s := range k.sources {
		if !s.bad && !now.Before(s.retryAt) {
			return s.host, true
		}
	}
	return "", false
}

// allSourcesBad reports whether the version is only claimed by bad sources.
func (k *claim) allSourcesBad() bool {
	if k.atService || len(k.sources) == 0 {
		return false
	}
	for _, s := range k.sources {
		if !s.bad {
			return false
		}
	}
	return true
}
