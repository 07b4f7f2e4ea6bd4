package settings

import (
	"time"
)

// Defaults of settings that a file may omit.
const (
	DefaultMaxBodyBytes   = 16 << 20
	DefaultBodyTimeout    = 20 * time.Second
	DefaultRequestTimeout = 5 * time.Minute
	DefaultDrainTimeout   = 5 * time.Minute
	DefaultDrainLinger    = 5 * time.Second
	DefaultAloneAfter     = 15 * time.Second
	DefaultLogLevel       = "info"
)

// Duration is a positive time span, written as "10s" or "1m30s".
type Duration struct {
	time.Duration
	// invalid is the text in the file if it is not a positive time span.
	// Settings.Check reports it with its key.
	invalid string
}

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: an invalid
// text is reported by Settings.Check, which knows its key.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed <= 0 {
		d.invalid = string(text)
		return nil
	}
	*d = Duration{Duration: parsed}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Default returns settings with the defaults of all that a file may omit.
func Default() *Settings {
	return &Settings{
		Caller: Caller{
			MaxBodyBytes:   DefaultMaxBodyBytes,
			BodyTimeout:    Duration{Duration: DefaultBodyTimeout},
			DefaultTimeout: Duration{Duration: DefaultRequestTimeout},
			DrainTimeout:   Duration{Duration: DefaultDrainTimeout},
			DrainLinger:    Duration{Duration: DefaultDrainLinger},
		},
		Peer: Peer{AloneAfter: Duration{Duration: DefaultAloneAfter}},
		Log:  Log{Level: DefaultLogLevel},
	}
}
