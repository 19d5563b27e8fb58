package claim

import "foxtailspoke/storage"

// AbandonedKeys returns up to limit keys of rows that may hold a claim which this
// instance gave up, to be read once the table answers again, and then given
// to Sweep. Without it a claim that arrived late would make other instances
// say "in progress" of an operation that nobody runs.
func (c *Claimer) AbandonedKeys(limit int) []string { return c.abandoned.oldest(limit) }

// ReleaseAbandoned takes what a read of an abandoned key returned. If the row holds a
// claim of this instance that never ran, the transaction deletes it. A claim
// that arrives later still is taken over or stays unknown.
func (c *Claimer) ReleaseAbandoned(key string, ch storage.Changes) (storage.Txn, bool) {
	c.abandoned.remove(key)
	row, ok := findRow(ch.Rows, key)
	if !ok || c.byKey[key] != nil {
		return storage.Txn{}, false
	}
	if _, unused := c.notRun.get(row.Attempt); !unused {
		return storage.Txn{}, false
	}
	return c.newTxn(key, row.Revision, storage.Put{Delete: true}), true
}
