// Package client is the client of the admin API. It never retries a request.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/internal/token"
)

const (
	// callTimeout bounds one call; it exceeds the time that a host may take for a
	// command.
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response; the rest is not read.
	maxResponseBytes = 16 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the base URL of the admin API.
	Address string
	Token   string
	// TLS is used for https addresses; nil selects Go's default configuration.
	TLS *tls.Config
}

// Client calls the admin API of one host.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a Client. It makes no network calls.
func New(o Options) *Client {
	o.Address = strings.TrimSuffix(o.Address, "/")
	transport := http1.Guard(&http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true}, http1.Host, nil)
	return &Client{opts: o, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// ChangeOptions identifies a change to a table that an operator requests.
type ChangeOptions struct {
	Table    schema.TableName
	ChangeID string
	Author   string
	// IfVersion is the version that the tables must have for the change to be
	// applied; nil sets no such condition.
	IfVersion *uint64
}

func (o ChangeOptions) params() url.Values {
	v := url.Values{api.ChangeParam: {o.ChangeID}, api.AuthorParam: {o.Author}}
	if o.IfVersion != nil {
		v.Set(api.IfVersionParam, strconv.FormatUint(*o.IfVersion, 10))
	}
	return v
}

// Apply adds or replaces the rows that the sections of a file define. When no
// response arrives, the result has the state command.Unknown.
func (c *Client) Apply(ctx context.Context, o ChangeOptions, file string, data []byte) (command.Result, error) {
	v := o.params()
	v.Set(api.FileParam, file)
	return c.change(ctx, http.MethodPost, tablePath(o.Table)+api.ApplyPath, v, data, o.ChangeID)
}

// Delete removes one row.
func (c *Client) Delete(ctx context.Context, o ChangeOptions, name string) (command.Result, error) {
	return c.change(ctx, http.MethodDelete, rowPath(o.Table, name), o.params(), nil, o.ChangeID)
}

// Evacuate puts a failure domain on the list of evacuated ones.
func (c *Client) Evacuate(ctx context.Context, o ChangeOptions, domain string) (command.Result, error) {
	return c.change(ctx, http.MethodPost, rowPath(o.Table, domain), o.params(), nil, o.ChangeID)
}

// ChangeOutcome returns the outcome of an earlier change, which was based on the
// version base.
func (c *Client) ChangeOutcome(ctx context.Context, id string, base uint64) (command.Result, error) {
	v := url.Values{api.BaseParam: {strconv.FormatUint(base, 10)}}
	return c.change(ctx, http.MethodGet, api.Prefix+api.ChangesPath+"/"+url.PathEscape(id), v, nil, id)
}

// List returns all rows of a table.
func (c *Client) List(ctx context.Context, kind schema.TableName) (l api.Listing, err error) {
	return l, c.get(ctx, tablePath(kind), nil, &l)
}

// Get returns one row of a table.
func (c *Client) Get(ctx context.Context, kind schema.TableName, name string) (l api.Listing, err error) {
	return l, c.get(ctx, rowPath(kind, name), nil, &l)
}

// History returns up to limit accepted changes, oldest first.
func (c *Client) History(ctx context.Context, kind schema.TableName, limit int) (h api.History, err error) {
	return h, c.get(ctx, tablePath(kind)+api.HistoryPath, url.Values{api.LimitParam: {strconv.Itoa(limit)}}, &h)
}

// Status returns what the host knows about itself, its peers and pools.
func (c *Client) Status(ctx context.Context) (s api.Status, err error) {
	return s, c.get(ctx, api.Prefix+api.StatusPath, nil, &s)
}

func tablePath(kind schema.TableName) string { return api.Prefix + "/" + string(kind) }

func rowPath(kind schema.TableName, name string) string {
	return tablePath(kind) + api.RowPath + "/" + url.PathEscape(name)
}

// change sends a request that returns a command.Result. An error means that
// nothing was sent or that the host rejected the request without executing it.
func (c *Client) change(ctx context.Context, method, path string, v url.Values, body []byte, id string) (command.Result, error) {
	status, response, err := c.call(ctx, method, path, v, body)
	if err != nil {
		if cloud.IsDialError(err) {
			return command.Result{}, err
		}
		return command.Result{State: command.Unknown, ChangeID: id, Detail: err.Error()}, nil
	}
	var res command.Result
	if json.Unmarshal(response, &res) == nil && res.State != "" {
		return res, nil
	}
	if status >= http.StatusInternalServerError {
		return command.Result{State: command.Unknown, ChangeID: id, Detail: responseError(status, response).Error()}, nil
	}
	return command.Result{}, responseError(status, response)
}

func (c *Client) get(ctx context.Context, path string, v url.Values, out any) error {
	status, response, err := c.call(ctx, http.MethodGet, path, v, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return responseError(status, response)
	}
	return errors.Wrap(json.Unmarshal(response, out), "answer of the host")
}

func (c *Client) call(ctx context.Context, method, path string, v url.Values, body []byte) (int, []byte, error) {
	address := c.opts.Address + path
	if len(v) > 0 {
		address += "?" + v.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "admin address")
	}
	if c.opts.Token != "" {
		req.Header.Set("Authorization", token.Bearer(c.opts.Token))
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	response, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, response, err
}

// responseError returns the error for a response that contains no result.
func responseError(status int, response []byte) error {
	var f api.ErrorResponse
	if json.Unmarshal(response, &f) == nil && f.Error != "" {
		return errors.Errorf("the host answered %d: %s", status, f.Error)
	}
	return errors.Errorf("the host answered %d", status)
}
