// Package hostlist is the client of the platform's list of live and leaving
// hosts: a GET of BASE/hostlist?service=NAME that answers with a JSON array of
// cloud.ListedHost. The list lags; what to believe of it is decided
// elsewhere.
package hostlist

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/cloud"
)

const (
	// DefaultTimeout bounds one call, body included.
	DefaultTimeout = 3 * time.Second
	// MaxListBytes bounds an answer.
	MaxListBytes = 4 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the address that /hostlist stands under.
	BaseURL string
	// Timeout bounds one call; 0 is DefaultTimeout.
	Timeout time.Duration
}

// Client implements cloud.HostList. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ cloud.HostList = (*Client)(nil)

// New returns a Client. It makes no call.
func New(o Options) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	return &Client{
		base: strings.TrimSuffix(o.BaseURL, "/") + "/hostlist",
		http: &http.Client{Timeout: o.Timeout, Transport: &http.Transport{}},
	}
}

// List implements cloud.HostList. Every failure, also an answer that can't
// be read whole, is cloud.ErrUnavailable.
func (c *Client) List(ctx context.Context, service string) ([]cloud.ListedHost, error) {
	address := c.base
	if service != "" {
		address += "?service=" + url.QueryEscape(service)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: status %d", res.StatusCode)
	}
	var hosts []cloud.ListedHost
	if err := json.NewDecoder(io.LimitReader(res.Body, MaxListBytes)).Decode(&hosts); err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: %v", err)
	}
	return hosts, nil
}
