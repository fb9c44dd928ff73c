// Package hostlist implements cloud.HostList over HTTP: GET
// BASE/hostlist?service=NAME returns a JSON array of cloud.ListedHost. The list
// can be out of date; the caller decides how far to rely on it.
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
	// DefaultTimeout is the default limit on the duration of one call,
	// including the transfer of the body.
	DefaultTimeout = 3 * time.Second
	// MaxListBytes is the maximum number of bytes read of a response body.
	MaxListBytes = 4 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the URL to which /hostlist is appended.
	BaseURL string
	// Timeout limits the duration of one call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// Client implements cloud.HostList. It is safe for concurrent use.
type Client struct {
	listURL string
	http    *http.Client
}

var _ cloud.HostList = (*Client)(nil)

// New returns a Client. It does not contact the platform.
func New(o Options) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	return &Client{
		listURL: strings.TrimSuffix(o.BaseURL, "/") + "/hostlist",
		http:    &http.Client{Timeout: o.Timeout, Transport: &http.Transport{}},
	}
}

// List implements cloud.HostList. Every failed request, including one whose
// response can't be decoded completely, returns cloud.ErrUnavailable.
func (c *Client) List(ctx context.Context, service string) ([]cloud.ListedHost, error) {
	address := c.listURL
	if service != "" {
		address += "?service=" + url.QueryEscape(service)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, errors.Wrap(err, "host list: request not sent")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: %v", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: expected status 200, got %d", res.StatusCode)
	}
	var hosts []cloud.ListedHost
	if err := json.NewDecoder(io.LimitReader(res.Body, MaxListBytes)).Decode(&hosts); err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: response body rejected: %v", err)
	}
	return hosts, nil
}
