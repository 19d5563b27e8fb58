package client

import (
	"context"

	"foxtailspoke/api/platform/convert"
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// List implements storage.Instances.
func (c *Client) List(ctx context.Context, since uint64) (storage.InstanceChanges, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	res, err := c.api.ListInstances(ctx, oas.ListInstancesParams{Since: oas.NewOptUint64(since)})
	if err != nil {
		return storage.InstanceChanges{}, callError(err)
	}
	return convert.InstanceChangesFromAPI(res), nil
}

// Announce implements storage.Instances. It fails with ErrEnded if the
// platform has declared the instance ended.
func (c *Client) Announce(ctx context.Context, i storage.Instance) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	params := oas.AnnounceInstanceParams{ID: i.ID}
	if err := c.api.AnnounceInstance(ctx, convert.InstanceToAPI(i), params); err != nil {
		return callError(err)
	}
	return nil
}
