package client

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/platform/convert"
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// Read implements storage.Table.
func (c *Client) Read(ctx context.Context, r storage.ReadRequest) (storage.Changes, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	params := oas.ReadRowsParams{
		Table: oas.TableName(r.Table),
		Since: oas.NewOptUint64(uint64(r.Since)),
	}
	if r.Prefix != "" {
		params.Prefix = oas.NewOptString(r.Prefix)
	}
	res, err := c.api.ReadRows(ctx, params)
	if err != nil {
		return storage.Changes{}, callError(err)
	}
	changes := convert.ChangesFromAPI(res)
	if err := validateChanges(r, changes); err != nil {
		return storage.Changes{}, callError(err)
	}
	return changes, nil
}

// Write implements storage.Table.
//
// Every failure after the request may have been sent yields storage.Unknown: a
// response that is lost, late, truncated or invalid does not show whether the
// transaction committed. Reporting a failure would let the writer repeat a
// transaction that has already been applied.
func (c *Client) Write(ctx context.Context, t storage.Txn) (storage.WriteResult, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	request := convert.TxnToAPI(t)
	if err := request.Validate(); err != nil {
		return storage.WriteResult{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	res, err := c.api.WriteTransaction(ctx, request)
	if err != nil {
		return storage.WriteResult{}, rejectionError(err)
	}
	switch res := res.(type) {
	case *oas.Committed:
		revisions := convert.RevisionsFromAPI(res.Revisions)
		if !hasAllRevisions(revisions, t.Puts) {
			return storage.WriteResult{}, nil
		}
		return storage.WriteResult{Outcome: storage.Committed, Revisions: revisions}, nil
	case *oas.Conflict:
		return storage.WriteResult{
			Outcome: storage.Conflict,
			Current: convert.RowsFromAPI(res.Current),
		}, nil
	default:
		return storage.WriteResult{}, nil
	}
}

// validateChanges rejects a response that does not match the request. A row with
// a revision above that of the response would make a replica discard later
// changes of the row as outdated, so a revoked key could remain valid.
func validateChanges(r storage.ReadRequest, c storage.Changes) error {
	for _, row := range c.Rows {
		if row.Revision <= r.Since || row.Revision > c.Revision {
			return errors.Newf("row %q has revision %d, outside the requested range (%d, %d]", row.Key, row.Revision, r.Since, c.Revision)
		}
		if !strings.HasPrefix(row.Key, r.Prefix) {
			return errors.Newf("row %q does not have the requested prefix %q", row.Key, r.Prefix)
		}
	}
	return nil
}

// hasAllRevisions reports whether a commit response holds the new revision of
// each written table. A response without them belongs to another request.
func hasAllRevisions(revisions map[storage.TableName]storage.Revision, puts []storage.Put) bool {
	for _, p := range puts {
		if revisions[p.Table] == 0 {
			return false
		}
	}
	return true
}
