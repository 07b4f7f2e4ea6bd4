// Package manifest defines what operators publish: which models, adapters and
// versions serve which customers, on which targets, and which targets leave.
//
// Operators write TOML. The pipeline packs it into pages and a signed root; a
// daemon that has assembled and checked a version holds it as an immutable
// *Manifest for as long as any request uses it. Version numbers only increase.
package manifest

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Schema is the newest schema version that this release reads.
const Schema = 1

// Manifest is one version of what operators publish.
type Manifest struct {
	// Schema is the version of this format.
	Schema int `toml:"schema" json:"schema"`
	// Version increases with each publication.
	Version names.Version `toml:"version" json:"version"`
	// Fleet describes data centres and the expected number of daemons.
	Fleet Fleet `toml:"fleet" json:"fleet"`
	// Policy holds the settings that operators may change at any time.
	Policy     Policy      `toml:"policy" json:"policy"`
	Models     []Model     `toml:"models" json:"models"`
	Services   []Service   `toml:"services" json:"services"`
	Customers  []Customer  `toml:"customers" json:"customers"`
	Targets    []Target    `toml:"targets" json:"targets"`
	Departures []Departure `toml:"departures" json:"departures"`
}

// Fleet describes where daemons run.
type Fleet struct {
	// ExpectedDaemons is the number of daemons in normal operation.
	ExpectedDaemons int                `toml:"expected_daemons" json:"expected_daemons"`
	DataCentres     []DataCentreRegion `toml:"data_centres" json:"data_centres"`
}

// DataCentreRegion assigns a data centre to a region.
type DataCentreRegion struct {
	Name   names.DataCentre `toml:"name" json:"name"`
	Region names.Region     `toml:"region" json:"region"`
}

// Policy holds settings of the fleet. Zero values mean the defaults of this
// release.
type Policy struct {
	// RetryBudget is the highest ratio of retries to new requests, 0 to 1.
	RetryBudget float64 `toml:"retry_budget" json:"retry_budget"`
	// ShortReserve bounds the share of a model's engines that are reserved
	// for short prefills; the reserve itself follows the mix of prompts.
	ShortReserve float64 `toml:"short_reserve" json:"short_reserve"`
	// Keepers is the number of daemons that watch and route to each target;
	// zero derives the number from the size of the fleet.
	Keepers int `toml:"keepers" json:"keepers"`
}

// Model is a model with its versions and adapters.
type Model struct {
	Name     names.Model     `toml:"name" json:"name"`
	Versions []ModelVersion  `toml:"versions" json:"versions"`
	Adapters []names.Adapter `toml:"adapters" json:"adapters"`
}

// ModelVersion is one set of weights.
type ModelVersion struct {
	Name string `toml:"name" json:"name"`
	// WeightBytes is the size of the weights in the weight store, in bytes.
	WeightBytes int64 `toml:"weight_bytes" json:"weight_bytes"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name names.Service `toml:"name" json:"name"`
	// Idempotent reports whether a call may be repeated.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
}

// Customer is a tenant.
type Customer struct {
	Name names.Customer `toml:"name" json:"name"`
	// KeyDigests are SHA-256 digests of the customer's API keys.
	KeyDigests []names.Digest `toml:"key_digests" json:"key_digests"`
	// TokensPerSecond is the quota over all daemons, prompt and answer
	// tokens together; zero means no quota.
	TokensPerSecond float64 `toml:"tokens_per_second" json:"tokens_per_second"`
	// Share is the customer's weight when customers compete for a fleet at
	// full load.
	Share float64 `toml:"share" json:"share"`
	// MaxPriority is the highest priority that the customer may request.
	MaxPriority int             `toml:"max_priority" json:"max_priority"`
	Models      []names.Model   `toml:"models" json:"models"`
	Services    []names.Service `toml:"services" json:"services"`
}

// Target is a model engine or a replica of a plain service.
type Target struct {
	Name names.Target `toml:"name" json:"name"`
	// Address is "IP:port".
	Address    string           `toml:"address" json:"address"`
	DataCentre names.DataCentre `toml:"data_centre" json:"data_centre"`
	// Service is set for a plain service; otherwise the target is an engine
	// and Want is the state that it should serve.
	Service names.Service `toml:"service" json:"service,omitempty"`
	Want    target.State  `toml:"want" json:"want"`
	// MemoryBlocks is the number of KV blocks, of BlockTokens tokens each.
	MemoryBlocks int `toml:"memory_blocks" json:"memory_blocks"`
	BlockTokens  int `toml:"block_tokens" json:"block_tokens"`
	// PrefillRate is the estimate in tokens per second that is used until the
	// engine reports.
	PrefillRate float64 `toml:"prefill_rate" json:"prefill_rate"`
	// ChecksFencing reports whether the engine refuses orders with an old
	// fencing token.
	ChecksFencing bool `toml:"checks_fencing" json:"checks_fencing"`
	// Isolation reserves the target for requests that are suspected of
	// crashing targets.
	Isolation bool `toml:"isolation" json:"isolation"`
}

// Departure is the planned removal of a target.
type Departure struct {
	Target names.Target `toml:"target" json:"target"`
	// At is when the target is stopped. Work in flight must end before then.
	At time.Time `toml:"at" json:"at"`
}
