package workload

import (
	"bytes"
	"os"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/tools/standin/fault"
	"carobspoke.example/tools/standin/fleet"
	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Workload is the content of a workload file.
type Workload struct {
	Name string `toml:"name"`
	// Seed seeds the random numbers of the schedule.
	Seed uint64 `toml:"seed"`
	// Duration is the period in which requests arrive.
	Duration Duration `toml:"duration"`
	// Fleet is the size of the stand-in fleet that the workload is designed
	// for. Its engines run faster than modelled by the factor Speedup; a
	// Speedup of zero means one.
	Fleet   fleet.Size `toml:"fleet"`
	Speedup float64    `toml:"speedup"`
	// Rate is the mean arrival rate outside swings, in requests a second.
	Rate   float64 `toml:"rate"`
	Swings []Swing `toml:"swings"`
	// Model is the model of all generations. If it is empty, it is the model
	// that the fleet serves.
	Model names.Model `toml:"model"`
	// TextTokens is the maximum length of the prompt text that is sent, in
	// tokens. A longer prompt is truncated and its full length is sent as a
	// hint.
	TextTokens int        `toml:"text_tokens"`
	Classes    []Class    `toml:"classes"`
	Customers  []Customer `toml:"customers"`
	Prefixes   Prefixes   `toml:"prefixes"`
	Calls      []Call     `toml:"calls"`
	Faults     []Fault    `toml:"faults"`
	// Retry is the retry policy of callers.
	Retry Retry `toml:"retry"`
}

// Swing multiplies the arrival rate by Factor for a period that starts at At
// and lasts For.
type Swing struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Factor float64  `toml:"factor"`
}

// Class is a class of generations. The lengths of prompts and answers, in
// tokens, follow log-uniform distributions.
type Class struct {
	Name string `toml:"name"`
	// Share is the class's weight among classes and calls.
	Share     float64 `toml:"share"`
	MinTokens int     `toml:"min_tokens"`
	MaxTokens int     `toml:"max_tokens"`
	MinAnswer int     `toml:"min_answer"`
	MaxAnswer int     `toml:"max_answer"`
	// Timeout is the time within which the answer must be complete.
	Timeout  Duration `toml:"timeout"`
	Priority int      `toml:"priority"`
	// Crash is set if the prompts crash every engine that runs them.
	Crash bool `toml:"crash"`
}

// Customer is a customer with its API key, by default that of the stand-in
// fleet, and its weight among the customers.
type Customer struct {
	Name   names.Customer `toml:"name"`
	Key    string         `toml:"key"`
	Weight float64        `toml:"weight"`
}

// Prefixes configures the prefixes that prompts of one customer have in common.
// Prompts of different customers have no prefix in common.
type Prefixes struct {
	// Share is the share of prompts that begin with a shared prefix.
	Share float64 `toml:"share"`
	// PerCustomer is the number of prefixes of each customer.
	PerCustomer int `toml:"per_customer"`
	// Tokens is the length of a prefix.
	Tokens int `toml:"tokens"`
}

// Mode is the way in which a call is protected from running twice.
type Mode string

// Modes of calls.
const (
	// Plain calls are not protected and may be repeated.
	Plain Mode = "plain"
	// Ticket calls fetch a ticket before the call is sent.
	Ticket Mode = "ticket"
	// Key calls carry an idempotency key chosen by the caller.
	Key Mode = "key"
)

// Call is a class of calls to a plain service.
type Call struct {
	Service names.Service `toml:"service"`
	Share   float64       `toml:"share"`
	Mode    Mode          `toml:"mode"`
	Bytes   int           `toml:"bytes"`
	Timeout Duration      `toml:"timeout"`
}

// Fault is a fault that is injected into a stand-in at a time of the run.
type Fault struct {
	At Duration `toml:"at"`
	// Target is the name of a target, or "platform".
	Target  string        `toml:"target"`
	Command fault.Command `toml:"command"`
}

// Retry is the retry policy of callers.
type Retry struct {
	// Attempts is the maximum number of sends of a request; zero means one.
	Attempts int `toml:"attempts"`
	// MaxWait is the longest Retry-After that a caller obeys. It gives up if
	// asked to wait for longer.
	MaxWait Duration `toml:"max_wait"`
}

// Duration is a time.Duration that is written as "1m30s" in files.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.WithStack(err)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Load reads and validates a workload file.
func Load(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w, err := Parse(text)
	return w, errors.Wrap(err, path)
}

// Parse parses and validates the text of a workload file. An unknown key is an
// error.
func Parse(text []byte) (*Workload, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var w Workload
	if err := decoder.Decode(&w); err != nil {
		return nil, errors.WithStack(err)
	}
	w.setDefaults()
	return &w, w.validate()
}

// setDefaults sets what the file omits: the speedup to one, the model and the
// API keys to those of the fleet.
func (w *Workload) setDefaults() {
	if w.Speedup == 0 {
		w.Speedup = 1
	}
	if w.Model == "" {
		w.Model = w.Fleet.Model()
	}
	for i := range w.Customers {
		if w.Customers[i].Key == "" {
			w.Customers[i].Key = fleet.APIKey(w.Customers[i].Name)
		}
	}
}

func (w *Workload) validate() error {
	if w.Duration <= 0 || w.Rate <= 0 {
		return errors.New("duration and rate must be positive")
	}
	if len(w.Customers) == 0 || len(w.Classes)+len(w.Calls) == 0 {
		return errors.New("at least one customer and at least one class or call are required")
	}
	for _, c := range w.Classes {
		if err := c.validate(); err != nil {
			return errors.Wrapf(err, "class %q", c.Name)
		}
	}
	for _, c := range w.Calls {
		if err := c.validate(); err != nil {
			return errors.Wrapf(err, "calls to service %q", c.Service)
		}
	}
	for _, s := range w.Swings {
		if s.Factor < 0 || s.For <= 0 {
			return errors.New("each swing must have a positive duration and a factor of at least 0")
		}
	}
	if w.Prefixes.Share > 0 && (w.Prefixes.PerCustomer < 1 || w.Prefixes.Tokens < 1) {
		return errors.New("prefixes must have per_customer and tokens of at least 1 if their share is positive")
	}
	return nil
}

func (c Class) validate() error {
	switch {
	case c.Share < 0:
		return errors.New("share must not be negative")
	case c.MinTokens < 1 || c.MaxTokens < c.MinTokens:
		return errors.New("1 <= min_tokens <= max_tokens must hold")
	case c.MinAnswer < 1 || c.MaxAnswer < c.MinAnswer:
		return errors.New("1 <= min_answer <= max_answer must hold")
	case c.Timeout <= 0:
		return errors.New("timeout must be positive")
	}
	return nil
}

func (c Call) validate() error {
	switch {
	case c.Share < 0:
		return errors.New("share must not be negative")
	case c.Mode != Plain && c.Mode != Ticket && c.Mode != Key:
		return errors.Errorf("unknown mode %q, want plain, ticket or key", c.Mode)
	case c.Timeout <= 0:
		return errors.New("timeout must be positive")
	}
	return nil
}
