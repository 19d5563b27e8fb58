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
	ctx, cancel := c.bounded(ctx)
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
		return storage.Changes{}, failed(err)
	}
	changes := convert.ChangesFromAPI(res)
	if err := checkChanges(r, changes); err != nil {
		return storage.Changes{}, failed(err)
	}
	return changes, nil
}

// Write implements storage.Table.
//
// Every failure after the request may have left ends as storage.Unknown:
// an answer that is lost, late, cut short or not understood says nothing
// about whether the transaction committed, and calling it a failure would
// let its writer repeat what has already taken effect.
func (c *Client) Write(ctx context.Context, t storage.Txn) (storage.WriteResult, error) {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	request := convert.TxnToAPI(t)
	if err := request.Validate(); err != nil {
		return storage.WriteResult{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	res, err := c.api.WriteTransaction(ctx, request)
	if err != nil {
		return storage.WriteResult{}, refusal(err)
	}
	switch res := res.(type) {
	case *oas.Committed:
		revisions := convert.RevisionsFromAPI(res.Revisions)
		if !namesTables(revisions, t.Puts) {
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

// checkChanges refuses an answer that can't be one to the request. A row
// from beyond the answer's revision would make a replica drop the row's later
// changes as old, and a withdrawn key could stay in force.
func checkChanges(r storage.ReadRequest, c storage.Changes) error {
	for _, row := range c.Rows {
		if row.Revision <= r.Since || row.Revision > c.Revision {
			return errors.Newf("row %q of revision %d in an answer from %d to %d", row.Key, row.Revision, r.Since, c.Revision)
		}
		if !strings.HasPrefix(row.Key, r.Prefix) {
			return errors.Newf("row %q in an answer to prefix %q", row.Key, r.Prefix)
		}
	}
	return nil
}

// namesTables reports whether a commit's answer has the new revision of each
// table that was written. One that hasn't answers something else.
func namesTables(revisions map[storage.TableName]storage.Revision, puts []storage.Put) bool {
	for _, p := range puts {
		if revisions[p.Table] == 0 {
			return false
		}
	}
	return true
}
