// Package hostlist implements cloud.HostList over HTTP: GET
// BASE/hostlist?service=NAME returns a JSON array of cloud.ListedHost. The list
// can be out of date; the caller decides how far to rely on it.
package hostlist

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/http1"
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
	// Logger receives a line when the number of odd entries changes; nil logs nothing.
	Logger *zap.Logger
	// Responses counts and logs the responses that are not HTTP/1.1; nil does neither.
	Responses *http1.Monitor
}

// Client implements cloud.HostList. It is safe for concurrent use.
type Client struct {
	listURL string
	http    *http.Client
	log     *zap.Logger

	mu sync.Mutex
	// odd is the number of odd entries in the last list of each service that had one.
	odd map[string]int
}

var _ cloud.HostList = (*Client)(nil)

// New returns a Client. It does not contact the platform.
func New(o Options) *Client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return &Client{
		log: o.Logger, odd: map[string]int{},
		listURL: strings.TrimSuffix(o.BaseURL, "/") + "/hostlist",
		http:    &http.Client{Timeout: o.Timeout, Transport: http1.Guard(&http.Transport{}, http1.HostList, o.Responses)},
	}
}

// List implements cloud.HostList. An odd entry names no host and the others hold: one
// that can't be decoded, of another service, or with an address that not all hosts
// reach. Every failed request, including one whose response is no list or has odd
// entries only, returns cloud.ErrUnavailable.
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
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxListBytes))
	if err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: response body not received: %v", err)
	}
	hosts, problems, err := decode(body, service)
	if err != nil {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: response body rejected: %v", err)
	}
	c.logOdd(service, problems)
	if len(hosts) == 0 && len(problems) > 0 {
		return nil, errors.Wrapf(cloud.ErrUnavailable, "host list: all %d entries rejected: %v", len(problems), problems[0])
	}
	return hosts, nil
}

// logOdd logs the number of odd entries of a list if it has changed.
func (c *Client) logOdd(service string, problems []error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(problems) == c.odd[service] {
		return
	}
	c.odd[service] = len(problems)
	if len(problems) == 0 {
		delete(c.odd, service)
		c.log.Info("host list has no odd entries any more", zap.String("service", service))
		return
	}
	c.log.Warn("odd entries in the host list are ignored; the others hold", zap.String("service", service), zap.Int("odd", len(problems)), zap.Error(problems[0]))
}
