package client

import (
	"context"
	"fmt"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// objects implements storage.Objects. It is a separate type because the List
// methods of storage.Objects and storage.Instances differ.
type objects struct{ c *Client }

// Objects returns the object store.
func (c *Client) Objects() storage.Objects { return objects{c} }

// Put implements storage.Objects. After ErrUnavailable the object may have
// been written.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	ctx, cancel := o.c.withTimeout(ctx)
	defer cancel()
	if data == nil {
		data = []byte{}
	}
	params := oas.PutObjectParams{Name: oas.ObjectName(name)}
	if err := o.c.api.PutObject(ctx, &oas.Object{Data: data}, params); err != nil {
		return callError(err)
	}
	return nil
}

// Get implements storage.Objects. It fails with ErrNotFound if the object does
// not exist.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := o.c.withTimeout(ctx)
	defer cancel()
	res, err := o.c.api.GetObject(ctx, oas.GetObjectParams{Name: oas.ObjectName(name)})
	if err != nil {
		return nil, callError(err)
	}
	object, ok := res.(*oas.Object)
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrNotFound, name)
	}
	return object.Data, nil
}

// List implements storage.Objects.
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := o.c.withTimeout(ctx)
	defer cancel()
	var params oas.ListObjectsParams
	if prefix != "" {
		params.Prefix = oas.NewOptString(prefix)
	}
	res, err := o.c.api.ListObjects(ctx, params)
	if err != nil {
		return nil, callError(err)
	}
	return res.Names, nil
}
