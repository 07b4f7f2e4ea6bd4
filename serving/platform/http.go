package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Limits of the client.
const (
	// MaxValueBytes is the size limit of a value in the configuration
	// service, in bytes.
	MaxValueBytes = 1 << 20
	// GetTimeout is the timeout of Get and Hosts.
	GetTimeout = 2 * time.Second
	// WatchTimeout is the timeout of Watch. The service itself ends a watch
	// sooner.
	WatchTimeout = 40 * time.Second
	// RevisionHeader is the response header with the revision of a value.
	RevisionHeader = "Revision"
)

// Client implements Platform over HTTP: GET /v1/values/KEY reads a value, with
// ?after=REVISION it watches the key, and GET /v1/hosts reads the host list.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at address, "IP:port".
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Get implements Platform.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, GetTimeout)
	defer cancel()
	return c.value(ctx, key, "")
}

// Watch implements Platform.
func (c *Client) Watch(ctx context.Context, key string, after Revision) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	return c.value(ctx, key, "?after="+strconv.FormatUint(uint64(after), 10))
}

// Hosts implements Platform.
func (c *Client) Hosts(ctx context.Context) ([]HostEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, GetTimeout)
	defer cancel()
	body, _, err := c.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var hosts []HostEntry
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, errors.Wrap(err, "platform: decode host list")
	}
	return hosts, nil
}

func (c *Client) value(ctx context.Context, key, query string) (Value, error) {
	body, header, err := c.get(ctx, "/v1/values/"+url.PathEscape(key)+query)
	if err != nil {
		return Value{}, err
	}
	revision, err := strconv.ParseUint(header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Wrap(err, "platform: parse revision")
	}
	return Value{Key: key, Revision: Revision(revision), Data: body}, nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read or is not needed
	if err := statusError(response.StatusCode); err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if len(body) > MaxValueBytes {
		return nil, nil, errors.New("platform: value exceeds 1 MB")
	}
	return body, response.Header, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrNoChange
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return ErrThrottled
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}
