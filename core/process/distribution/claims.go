package distribution

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Bounds of the tables of claims, in entries.
const (
	maxClaims  = 8
	maxSources = 8
	maxRefused = 64
)

// claims are the versions above the one in force that somebody says to have,
// the highest first. Of two contents of one version the lower digest goes
// first, so that daemons that learn of both at once choose alike.
type claims struct {
	list []*claim
	// refused are versions whose content is bad.
	refused map[Held]bool
}

// claim is a version that somebody says to have.
type claim struct {
	held    Held
	sources []source
	// service is true if the service's root is this version; missing is
	// the number of its pages to be read there.
	service bool
	missing int
	// since is when the version was first heard of.
	since time.Time
	// failing is when the first fetch failed; zero if none has.
	failing time.Time
}

// source is a peer that told of a version.
type source struct {
	host names.Host
	// lied sources are not asked again for this version.
	lied bool
	// after is when the source may be tried again.
	after time.Time
}

func (c *claims) note(now time.Time, h Held, from names.Host) *claim {
	found := c.find(h)
	if found == nil {
		found = &claim{held: h, since: now}
		c.list = append(c.list, found)
		slices.SortFunc(c.list, higherFirst)
		c.list = c.list[:min(len(c.list), maxClaims)]
	}
	if from != "" {
		found.addSource(from)
	}
	return found
}

func higherFirst(a, b *claim) int {
	return cmp.Or(cmp.Compare(b.held.Version, a.held.Version), cmp.Compare(a.held.Digest, b.held.Digest))
}

func (c *claims) find(h Held) *claim {
	for _, known := range c.list {
		if known.held == h {
			return known
		}
	}
	return nil
}

// above returns the claims above a version. Claims that could not be fetched
// for as long as kept are forgotten.
func (c *claims) above(v names.Version, now time.Time, kept time.Duration) []*claim {
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool {
		expired := !k.failing.IsZero() && now.Sub(k.failing) >= kept
		return expired || k.onlyLiars()
	})
	i := slices.IndexFunc(c.list, func(k *claim) bool { return k.held.Version <= v })
	if i < 0 {
		return c.list
	}
	return c.list[:i]
}

// waiting reports whether the highest claim has waited for longer than a while.
func (c *claims) waiting(now time.Time, while time.Duration) bool {
	return len(c.list) > 0 && now.Sub(c.list[0].since) > while
}

// drop forgets all claims up to a version.
func (c *claims) drop(upTo names.Version) {
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool { return k.held.Version <= upTo })
}

// refuse remembers that a version's content is bad.
func (c *claims) refuse(h Held) {
	if len(c.refused) >= maxRefused {
		clear(c.refused)
	}
	c.refused[h] = true
	c.list = slices.DeleteFunc(c.list, func(k *claim) bool { return k.held == h })
}

func (c *claims) failed(now time.Time, h Held, from names.Host, f Failure, wait time.Duration) {
	k := c.find(h)
	if k == nil {
		return
	}
	if k.failing.IsZero() && f != NotYet {
		k.failing = now
	}
	for i := range k.sources {
		if k.sources[i].host == from {
			k.sources[i].lied = f == Lied
			k.sources[i].after = now.Add(wait)
		}
	}
}

// addSource puts the newest teller first, and evicts the oldest.
func (k *claim) addSource(host names.Host) {
	for _, s := range k.sources {
		if s.host == host {
			return
		}
	}
	k.sources = slices.Insert(k.sources, 0, source{host: host})
	k.sources = k.sources[:min(len(k.sources), maxSources)]
}

// source returns the peer to fetch from, if any may be tried now.
func (k *claim) source(now time.Time) (names.Host, bool) {
	for _, s := range k.sources {
		if !s.lied && !now.Before(s.after) {
			return s.host, true
		}
	}
	return "", false
}

// onlyLiars reports whether nobody is left who could have the version.
func (k *claim) onlyLiars() bool {
	if k.service || len(k.sources) == 0 {
		return false
	}
	for _, s := range k.sources {
		if !s.lied {
			return false
		}
	}
	return true
}
