package settings

import (
	"time"
)

// Defaults of settings that a file may leave out.
const (
	DefaultMaxBodyBytes   = 16 << 20
	DefaultBodyTimeout    = 20 * time.Second
	DefaultRequestTimeout = 5 * time.Minute
	DefaultDrainTimeout   = 5 * time.Minute
	DefaultDrainLinger    = 5 * time.Second
	DefaultAloneAfter     = 15 * time.Second
	DefaultLogLevel       = "info"
)

// Duration is a time span written as "10s" or "1m30s".
type Duration struct {
	time.Duration
	// mistake is what the file says, if that is no time span. Check reports
	// it with its key.
	mistake string
}

// UnmarshalText implements encoding.TextUnmarshaler. It takes any text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed <= 0 {
		d.mistake = string(text)
		return nil
	}
	*d = Duration{Duration: parsed}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Default returns settings with everything that a file may leave out.
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
