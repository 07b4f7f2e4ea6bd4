package platform

import "github.com/pkg/errors"

// Failures of the platform that callers tell apart.
var (
	ErrNotFound    = errors.New("platform: no such key")
	ErrNoChange    = errors.New("platform: no change within the wait")
	ErrThrottled   = errors.New("platform: too many calls")
	ErrUnavailable = errors.New("platform: service unavailable")
)
