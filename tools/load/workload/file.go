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
	// Seed is that of the schedule.
	Seed uint64 `toml:"seed"`
	// Duration is how long requests arrive.
	Duration Duration `toml:"duration"`
	// Fleet is the fleet of stand-ins that the workload is made for; its
	// engines run faster than modelled by Speedup.
	Fleet   fleet.Size `toml:"fleet"`
	Speedup float64    `toml:"speedup"`
	// Rate is the mean arrivals a second outside swings.
	Rate   float64 `toml:"rate"`
	Swings []Swing `toml:"swings"`
	// Model is the model asked for.
	Model names.Model `toml:"model"`
	// TextTokens is how much of a prompt is sent as text, in tokens. A longer
	// prompt is cut there and its length is told by a hint.
	TextTokens int        `toml:"text_tokens"`
	Classes    []Class    `toml:"classes"`
	Customers  []Customer `toml:"customers"`
	Prefixes   Prefixes   `toml:"prefixes"`
	Calls      []Call     `toml:"calls"`
	Faults     []Fault    `toml:"faults"`
	// Retry is how callers come back.
	Retry Retry `toml:"retry"`
}

// Swing multiplies the rate for a while.
type Swing struct {
	At     Duration `toml:"at"`
	For    Duration `toml:"for"`
	Factor float64  `toml:"factor"`
}

// Class is a class of generations. Lengths are drawn evenly on a logarithmic
// scale.
type Class struct {
	Name string `toml:"name"`
	// Share is the class's weight among classes and calls.
	Share     float64 `toml:"share"`
	MinTokens int     `toml:"min_tokens"`
	MaxTokens int     `toml:"max_tokens"`
	MinAnswer int     `toml:"min_answer"`
	MaxAnswer int     `toml:"max_answer"`
	// Timeout is the time until the answer must be complete.
	Timeout  Duration `toml:"timeout"`
	Priority int      `toml:"priority"`
	// Crash marks prompts that crash each engine which runs them.
	Crash bool `toml:"crash"`
}

// Customer is a customer and its weight among customers.
type Customer struct {
	Name   names.Customer `toml:"name"`
	Key    string         `toml:"key"`
	Weight float64        `toml:"weight"`
}

// Prefixes says how prompts share their first tokens. Customers share none
// with each other.
type Prefixes struct {
	// Share is the share of prompts that begin with a shared prefix.
	Share float64 `toml:"share"`
	// PerCustomer is how many prefixes a customer has.
	PerCustomer int `toml:"per_customer"`
	// Tokens is a prefix's length.
	Tokens int `toml:"tokens"`
}

// Mode is how a call makes sure that it is not run twice.
type Mode string

// Modes of calls.
const (
	// Plain calls may be repeated.
	Plain Mode = "plain"
	// Ticket calls fetch a ticket first.
	Ticket Mode = "ticket"
	// Key calls bring a key of the caller's own.
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

// Fault is a fault of a stand-in at a time of the run.
type Fault struct {
	At Duration `toml:"at"`
	// Target is a target's name, or "platform".
	Target  string        `toml:"target"`
	Command fault.Command `toml:"command"`
}

// Retry says how callers come back.
type Retry struct {
	// Attempts is the most sends of one request; zero means one.
	Attempts int `toml:"attempts"`
	// MaxWait bounds how long a caller waits when told to come back later.
	MaxWait Duration `toml:"max_wait"`
}

// Duration is a time.Duration that files write as "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.WithStack(err)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Load reads and checks a file.
func Load(path string) (*Workload, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	w, err := Parse(text)
	return w, errors.Wrap(err, path)
}

// Parse reads and checks a file's text. An unknown key is an error.
func Parse(text []byte) (*Workload, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var w Workload
	if err := decoder.Decode(&w); err != nil {
		return nil, errors.WithStack(err)
	}
	w.fill()
	return &w, w.check()
}

// fill takes from the fleet what the file leaves out.
func (w *Workload) fill() {
	if w.Speedup == 0 {
		w.Speedup = 1
	}
	if w.Model == "" {
		w.Model = w.Fleet.Model()
	}
	for i := range w.Customers {
		if w.Customers[i].Key == "" {
			w.Customers[i].Key = fleet.Key(w.Customers[i].Name)
		}
	}
}

func (w *Workload) check() error {
	if w.Duration <= 0 || w.Rate <= 0 {
		return errors.New("duration and rate must be above zero")
	}
	if len(w.Customers) == 0 || len(w.Classes)+len(w.Calls) == 0 {
		return errors.New("customers, and classes or calls are needed")
	}
	for _, c := range w.Classes {
		if err := c.check(); err != nil {
			return errors.Wrapf(err, "class %q", c.Name)
		}
	}
	for _, c := range w.Calls {
		if err := c.check(); err != nil {
			return errors.Wrapf(err, "calls of %q", c.Service)
		}
	}
	for _, s := range w.Swings {
		if s.Factor < 0 || s.For <= 0 {
			return errors.New("a swing needs a duration and a factor of at least zero")
		}
	}
	if w.Prefixes.Share > 0 && (w.Prefixes.PerCustomer < 1 || w.Prefixes.Tokens < 1) {
		return errors.New("prefixes need tokens and per_customer")
	}
	return nil
}

func (c Class) check() error {
	switch {
	case c.Share < 0:
		return errors.New("share is below zero")
	case c.MinTokens < 1 || c.MaxTokens < c.MinTokens:
		return errors.New("tokens need 1 <= min <= max")
	case c.MinAnswer < 1 || c.MaxAnswer < c.MinAnswer:
		return errors.New("answers need 1 <= min <= max")
	case c.Timeout <= 0:
		return errors.New("timeout must be above zero")
	}
	return nil
}

func (c Call) check() error {
	switch {
	case c.Share < 0:
		return errors.New("share is below zero")
	case c.Mode != Plain && c.Mode != Ticket && c.Mode != Key:
		return errors.Errorf("mode %q is none of plain, ticket and key", c.Mode)
	case c.Timeout <= 0:
		return errors.New("timeout must be above zero")
	}
	return nil
}
