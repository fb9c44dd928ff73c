package placement

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/dialect"
	"github.com/chestnutfield/chestnutfield/load"
	"github.com/chestnutfield/chestnutfield/registry"
	"github.com/chestnutfield/chestnutfield/upstream"
)

// The ways in which a target that was asked tells no load.
var (
	// ErrSilent: the answer holds no report.
	ErrSilent = errors.New("target tells no load")
	// ErrOther: another target answered.
	ErrOther = errors.New("another target answered")
)

// Asker asks a target for its load.
type Asker interface {
	// Ask returns the report; the error matches ErrSilent, ErrOther, or is
	// that of the connection.
	Ask(ctx context.Context, t registry.Target, path string) (load.Report, error)
}

// HTTPAsker asks a target's health path over the connections that requests
// use as well.
type HTTPAsker struct {
	Client  *upstream.Client
	Dialect dialect.Dialect
}

// askConnections bounds the connections to one target that questions open.
const askConnections = 32

// Ask implements Asker.
func (a HTTPAsker) Ask(ctx context.Context, t registry.Target, path string) (load.Report, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	x, err := a.Client.Open(ctx, upstream.OpenQuery{Target: t.Addr, Limit: askConnections, Deadline: deadline, Idempotent: true})
	if err != nil {
		return load.Report{}, err
	}
	defer x.Close()
	head := "GET " + path + " HTTP/1.1\r\nHost: " + t.Addr.String() + "\r\n\r\n"
	if err := x.SendWhole([]byte(head), nil); err != nil {
		return load.Report{}, err
	}
	if err := x.ReadHeader(false); err != nil {
		return load.Report{}, err
	}
	if err := x.Drain(); err != nil {
		return load.Report{}, err
	}
	if id := x.Value(a.Dialect.Identity); id != "" && id != t.ID {
		return load.Report{}, ErrOther
	}
	text := x.Value(a.Dialect.Load)
	if text == "" {
		return load.Report{}, ErrSilent
	}
	return a.Dialect.ParseLoad(text)
}
