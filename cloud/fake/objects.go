package fake

import (
	"bytes"
	"context"
	"sync"

	"github.com/chestnutfield/chestnutfield/cloud"
)

// ObjectStore is an in-memory cloud.ObjectStore.
type ObjectStore struct {
	Faults

	bodiesMu sync.Mutex
	bodies   map[string][]byte
}

var _ cloud.ObjectStore = (*ObjectStore)(nil)

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{bodies: map[string][]byte{}} }

// Put implements cloud.ObjectStore.
func (o *ObjectStore) Put(ctx context.Context, key string, body []byte) error {
	stored := bytes.Clone(body)
	return o.write(ctx, func() error {
		o.bodiesMu.Lock()
		defer o.bodiesMu.Unlock()
		o.bodies[key] = stored
		return nil
	})
}

// Get implements cloud.ObjectStore.
func (o *ObjectStore) Get(ctx context.Context, key string) (body []byte, ok bool, err error) {
	err = o.read(ctx, func() {
		o.bodiesMu.Lock()
		defer o.bodiesMu.Unlock()
		body, ok = o.bodies[key]
		body = bytes.Clone(body)
	})
	return body, ok, err
}
