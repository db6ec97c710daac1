package platform

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"peridotpier.example/node/store"
)

// Objects is the object store in memory.
type Objects struct {
	// Faults may be changed while the store is in use. A late effect is treated as
	// a lost request: blobs never change, so that the two cannot be told apart.
	Faults *Faults

	mu    sync.Mutex
	blobs map[string][]byte
	names []string // of blobs, sorted
}

// NewObjects returns an empty object store under f.
func NewObjects(f *Faults) *Objects { return &Objects{Faults: f, blobs: map[string][]byte{}} }

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	outcome, _, err := o.Faults.admitWrite(ctx)
	if err != nil {
		return err
	}
	if outcome == outcomeLostRequest || outcome == outcomeLateEffect {
		return store.ErrUnconfirmed
	}
	err = o.put(name, data)
	if outcome == outcomeLostAnswer {
		return store.ErrUnconfirmed
	}
	return err
}

func (o *Objects) put(name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.blobs[name]; ok {
		if !bytes.Equal(old, data) {
			return store.ErrConflict
		}
		return nil
	}
	o.blobs[name] = slices.Clone(data)
	at, _ := slices.BinarySearch(o.names, name)
	o.names = slices.Insert(o.names, at, name)
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.Faults.admitRead(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.blobs[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return slices.Clone(data), nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := o.Faults.admitRead(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(page(o.names, prefix, after, limit)), nil
}
