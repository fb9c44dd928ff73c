// Package client is the client of the admin API. It never sends a request a
// second time by itself.
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
	"github.com/chestnutfield/chestnutfield/config/rows"
	"github.com/chestnutfield/chestnutfield/internal/token"
)

const (
	// callTimeout bounds one call; it exceeds the time of a command.
	callTimeout = 15 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
)

// Options configures a Client.
type Options struct {
	// Address is the base URL of the admin API.
	Address string
	Token   string
	// TLS is used for https addresses; nil is the default.
	TLS *tls.Config
}

// Client calls the admin API of one host.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a Client. It makes no call.
func New(o Options) *Client {
	o.Address = strings.TrimSuffix(o.Address, "/")
	transport := &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true}
	return &Client{opts: o, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Edit is a change that an operator asks for.
type Edit struct {
	Table    rows.Kind
	ChangeID string
	Author   string
	// IfVersion refuses the change when the tables have moved on; nil sets no
	// such condition.
	IfVersion *uint64
}

func (e Edit) values() url.Values {
	v := url.Values{api.ChangeArg: {e.ChangeID}, api.AuthorArg: {e.Author}}
	if e.IfVersion != nil {
		v.Set(api.IfVersionArg, strconv.FormatUint(*e.IfVersion, 10))
	}
	return v
}

// Apply upserts the sections of a file. The result is never lost: when the
// answer is missing its state is command.Unknown.
func (c *Client) Apply(ctx context.Context, e Edit, file string, data []byte) (command.Result, error) {
	v := e.values()
	v.Set(api.FileArg, file)
	return c.change(ctx, http.MethodPost, tablePath(e.Table)+api.ApplyPath, v, data, e.ChangeID)
}

// Delete removes one row.
func (c *Client) Delete(ctx context.Context, e Edit, name string) (command.Result, error) {
	return c.change(ctx, http.MethodDelete, rowPath(e.Table, name), e.values(), nil, e.ChangeID)
}

// Ask says what became of a change.
func (c *Client) Ask(ctx context.Context, id string, base uint64) (command.Result, error) {
	v := url.Values{api.BaseArg: {strconv.FormatUint(base, 10)}}
	return c.change(ctx, http.MethodGet, api.Prefix+api.ChangesPath+"/"+url.PathEscape(id), v, nil, id)
}

// List returns all rows of a table.
func (c *Client) List(ctx context.Context, kind rows.Kind) (l api.Listing, err error) {
	return l, c.get(ctx, tablePath(kind), nil, &l)
}

// Get returns one row of a table.
func (c *Client) Get(ctx context.Context, kind rows.Kind, name string) (l api.Listing, err error) {
	return l, c.get(ctx, rowPath(kind, name), nil, &l)
}

// History returns up to limit accepted changes, oldest first.
func (c *Client) History(ctx context.Context, kind rows.Kind, limit int) (h api.History, err error) {
	return h, c.get(ctx, tablePath(kind)+api.HistoryPath, url.Values{api.LimitArg: {strconv.Itoa(limit)}}, &h)
}

// Status returns what the host knows of itself, its peers and pools.
func (c *Client) Status(ctx context.Context) (s api.Status, err error) {
	return s, c.get(ctx, api.Prefix+api.StatusPath, nil, &s)
}

func tablePath(kind rows.Kind) string { return api.Prefix + "/" + string(kind) }

func rowPath(kind rows.Kind, name string) string {
	return tablePath(kind) + api.RowPath + "/" + url.PathEscape(name)
}

// change calls for a command.Result. An error means that nothing was sent or
// that the host refused to look at it.
func (c *Client) change(ctx context.Context, method, path string, v url.Values, body []byte, id string) (command.Result, error) {
	status, answer, err := c.call(ctx, method, path, v, body)
	if err != nil {
		if cloud.NeverSent(err) {
			return command.Result{}, err
		}
		return command.Result{State: command.Unknown, ChangeID: id, Detail: err.Error()}, nil
	}
	var res command.Result
	if json.Unmarshal(answer, &res) == nil && res.State != "" {
		return res, nil
	}
	if status >= http.StatusInternalServerError {
		return command.Result{State: command.Unknown, ChangeID: id, Detail: failure(status, answer).Error()}, nil
	}
	return command.Result{}, failure(status, answer)
}

func (c *Client) get(ctx context.Context, path string, v url.Values, out any) error {
	status, answer, err := c.call(ctx, http.MethodGet, path, v, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return failure(status, answer)
	}
	return errors.Wrap(json.Unmarshal(answer, out), "answer of the host")
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
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return res.StatusCode, answer, err
}

// failure is the error for an answer that holds no result.
func failure(status int, answer []byte) error {
	var f api.Failure
	if json.Unmarshal(answer, &f) == nil && f.Error != "" {
		return errors.Errorf("the host answered %d: %s", status, f.Error)
	}
	return errors.Errorf("the host answered %d", status)
}
