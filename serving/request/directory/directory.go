// Package directory authenticates customers and checks which models and services
// they may use, according to the manifest in force. A refusal does not reveal
// whether a model or service does not exist or belongs to another customer.
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

// Directory answers from the manifest version that is in force at the time of the
// request.
type Directory struct {
	Versions *version.Holder
}

var (
	_ gateway.Directory = (*Directory)(nil)
	_ calls.Directory   = (*Directory)(nil)
)

const bearerPrefix = "Bearer "

// APIKeyDigest returns the SHA-256 digest, in hexadecimal, of the API key in the
// value of an Authorization header. It returns false if there is none.
func APIKeyDigest(authorization string) (names.Digest, bool) {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	return names.Digest(hex.EncodeToString(sum[:])), true
}

// Authenticate implements gateway.Directory.
func (d *Directory) Authenticate(authorization string) (gateway.Customer, error) {
	snapshot, err := d.snapshot()
	if err != nil {
		return gateway.Customer{}, err
	}
	digest, ok := APIKeyDigest(authorization)
	if !ok {
		return gateway.Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "an API key is needed: Authorization: Bearer KEY")
	}
	customer, ok := snapshot.Index.CustomerByKey(digest)
	if !ok {
		return gateway.Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "the API key is not known")
	}
	return gateway.Customer{Name: customer.Name, MaxPriority: customer.MaxPriority}, nil
}

// CheckModel implements gateway.Directory.
func (d *Directory) CheckModel(c names.Customer, m names.Model, a names.Adapter) error {
	snapshot, err := d.snapshot()
	if err != nil {
		return err
	}
	entry, ok := snapshot.Index.Model(m)
	if !ok || !snapshot.Index.MayUseModel(c, m) || !hasAdapter(entry, a) {
		return verdict.New(verdict.NotRun, verdict.UnknownModel, "the model does not exist or is not yours to use")
	}
	return nil
}

// Service implements calls.Directory.
func (d *Directory) Service(c names.Customer, name names.Service) (calls.Service, error) {
	snapshot, err := d.snapshot()
	if err != nil {
		return calls.Service{}, err
	}
	entry, ok := snapshot.Index.Service(name)
	if !ok || !snapshot.Index.MayUseService(c, name) {
		return calls.Service{}, verdict.New(verdict.NotRun, verdict.UnknownService, "the service does not exist or is not yours to call")
	}
	return calls.Service{Idempotent: entry.Idempotent, Version: snapshot.Version()}, nil
}

func hasAdapter(m *manifest.Model, a names.Adapter) bool {
	return a == "" || slices.Contains(m.Adapters, a)
}

// snapshot returns the version in force, or an error with NotReady before the
// first.
func (d *Directory) snapshot() (*version.Snapshot, error) {
	current := d.Versions.Current()
	if current == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	return current, nil
}
