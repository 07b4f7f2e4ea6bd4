// Package directory answers a request's questions about the manifest in
// force: who calls, and what that customer may use. Refusals are the same
// whether a thing does not exist or belongs to another customer.
package directory

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/request/gateway"
	"carobspoke.example/serving/version"
)

// Directory reads the version in force.
type Directory struct {
	Versions *version.Holder
}

var (
	_ gateway.Directory = (*Directory)(nil)
	_ calls.Directory   = (*Directory)(nil)
)

const bearer = "Bearer "

// KeyDigest returns the digest of the API key in an Authorization header.
func KeyDigest(authorization string) (names.Digest, bool) {
	key, ok := strings.CutPrefix(authorization, bearer)
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return names.Digest(hex.EncodeToString(sum[:])), true
}

// Authenticate implements gateway.Directory.
func (d *Directory) Authenticate(authorization string) (gateway.Customer, error) {
	view, err := d.view()
	if err != nil {
		return gateway.Customer{}, err
	}
	digest, ok := KeyDigest(authorization)
	if !ok {
		return gateway.Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "an API key is needed: Authorization: Bearer KEY")
	}
	customer, ok := view.Index.CustomerByKey(digest)
	if !ok {
		return gateway.Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "the API key is not known")
	}
	return gateway.Customer{Name: customer.Name, MaxPriority: customer.MaxPriority}, nil
}

// CheckModel implements gateway.Directory.
func (d *Directory) CheckModel(c names.Customer, m names.Model, a names.Adapter) error {
	view, err := d.view()
	if err != nil {
		return err
	}
	entry, ok := view.Index.Model(m)
	if !ok || !view.Index.MayUseModel(c, m) || !hasAdapter(entry, a) {
		return verdict.New(verdict.NotRun, verdict.UnknownModel, "the model does not exist or is not yours to use")
	}
	return nil
}

// Service implements calls.Directory.
func (d *Directory) Service(c names.Customer, name names.Service) (calls.Service, error) {
	view, err := d.view()
	if err != nil {
		return calls.Service{}, err
	}
	entry, ok := view.Index.Service(name)
	if !ok || !view.Index.MayUseService(c, name) {
		return calls.Service{}, verdict.New(verdict.NotRun, verdict.UnknownService, "the service does not exist or is not yours to call")
	}
	return calls.Service{Idempotent: entry.Idempotent, Version: view.Version()}, nil
}

func hasAdapter(m *manifest.Model, a names.Adapter) bool {
	return a == "" || slices.Contains(m.Adapters, a)
}

func (d *Directory) view() (*version.State, error) {
	view := d.Versions.Current()
	if view == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	return view, nil
}
