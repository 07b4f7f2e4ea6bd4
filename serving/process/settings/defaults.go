package settings

import (
	"time"

	"github.com/pkg/errors"
)

// Defaults of settings that a file may leave out.
const (
	DefaultMaxBodyBytes   = 16 << 20
	DefaultBodyTimeout    = 20 * time.Second
	DefaultRequestTimeout = 5 * time.Minute
	DefaultDrainTimeout   = 5 * time.Minute
	DefaultLogLevel       = "info"
)

// Duration is a time span written as "10s" or "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed <= 0 {
		return errors.Errorf("expected a positive time span with a unit, such as \"10s\", not %q", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Default returns settings with everything that a file may leave out.
func Default() *Settings {
	return &Settings{
		Caller: Caller{
			MaxBodyBytes:   DefaultMaxBodyBytes,
			BodyTimeout:    Duration(DefaultBodyTimeout),
			DefaultTimeout: Duration(DefaultRequestTimeout),
			DrainTimeout:   Duration(DefaultDrainTimeout),
		},
		Log: Log{Level: DefaultLogLevel},
	}
}
