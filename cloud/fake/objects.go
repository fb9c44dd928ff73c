package fake

import (
	"bytes"
	"context"
	"sync"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// Objects is an in-memory cloud.Objects.
type Objects struct {
	Faults

	bodiesMu sync.Mutex
	bodies   map[string][]byte
}

var _ cloud.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{bodies: map[string][]byte{}} }

// Put implements cloud.Objects.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	stored := bytes.Clone(body)
	return o.write(ctx, func() error {
		o.bodiesMu.Lock()
		defer o.bodiesMu.Unlock()
		o.bodies[key] = stored
		return nil
	})
}

// Get implements cloud.Objects.
func (o *Objects) Get(ctx context.Context, key string) (body []byte, ok bool, err error) {
	err = o.read(ctx, func() {
		o.bodiesMu.Lock()
		defer o.bodiesMu.Unlock()
		body, ok = o.bodies[key]
		body = bytes.Clone(body)
	})
	return body, ok, err
}
