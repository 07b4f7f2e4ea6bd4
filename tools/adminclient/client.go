// Package adminclient reads daemons' administration interfaces for operators:
// carobspoke status and carobspoke explain.
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

// Timeout bounds a call to a daemon.
const Timeout = 5 * time.Second

// Client reads one daemon.
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
	return result, plain(err)
}

// Explain asks why a request would go where.
func (c *Client) Explain(ctx context.Context, p *admin.ExplainPayload) (*admin.ExplainResult, error) {
	p.Authorization = &c.authorization
	result, err := c.admin.Explain(ctx, p)
	return result, plain(err)
}

// plain returns the message of a daemon's failure form, which goa's client
// gives as the text of a response with an unexpected status.
func plain(err error) error {
	if err == nil {
		return nil
	}
	_, body, found := strings.Cut(err.Error(), "{")
	if !found {
		return err
	}
	var form struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte("{"+body), &form) != nil || form.Error.Message == "" {
		return err
	}
	return errors.Errorf("%s (%s)", form.Error.Message, form.Error.Code)
}
