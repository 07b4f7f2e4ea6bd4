// Package adminclient is a client of the daemons' administration interface. It
// implements the commands carobspoke status and carobspoke explain.
package adminclient

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"carobspoke.example/serving/gen/admin"
	adminhttp "carobspoke.example/serving/gen/http/admin/client"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
)

// Timeout limits each request to a daemon.
const Timeout = 5 * time.Second

// Client calls the administration interface of one daemon.
type Client struct {
	authorization string
	admin         *admin.Client
}

// New returns a client of the daemon whose administration interface is at
// address, "IP:port".
func New(address, key string) *Client {
	doer := &http.Client{Timeout: Timeout}
	c := adminhttp.NewClient("http", address, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{
		authorization: "Bearer " + key,
		admin:         admin.NewClient(c.Status(), c.Explain(), c.DryRun(), c.Metrics(), c.Health(), c.Ready()),
	}
}

// Status returns the daemon's state.
func (c *Client) Status(ctx context.Context) (*admin.StatusResult, error) {
	result, err := c.admin.Status(ctx, &admin.StatusPayload{Authorization: &c.authorization})
	return result, responseError(err)
}

// Explain returns the target that the daemon would choose for a request and the
// reason for each step of the choice. It sends no request to a target.
func (c *Client) Explain(ctx context.Context, p *admin.ExplainPayload) (*admin.ExplainResult, error) {
	p.Authorization = &c.authorization
	result, err := c.admin.Explain(ctx, p)
	return result, responseError(err)
}

// responseError extracts the message and code from a daemon's JSON error
// response. The goa client includes the body of a response with an unexpected
// status in the text of its error. Other errors are returned unchanged.
func responseError(err error) error {
	if err == nil {
		return nil
	}
	_, body, found := strings.Cut(err.Error(), "{")
	if !found {
		return err
	}
	var response struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte("{"+body), &response) != nil || response.Error.Message == "" {
		return err
	}
	return errors.Errorf("%s (%s)", response.Error.Message, response.Error.Code)
}
