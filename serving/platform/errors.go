package platform

import "github.com/pkg/errors"

// Failures of the platform that callers distinguish.
var (
	ErrNotFound    = errors.New("platform: no such key")
	ErrNoChange    = errors.New("platform: no change before the watch ended")
	ErrThrottled   = errors.New("platform: rate limit exceeded")
	ErrUnavailable = errors.New("platform: service unavailable")
)
