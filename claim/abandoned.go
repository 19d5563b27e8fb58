package claim

import "foxtailspoke/storage"

// AbandonedKeys returns up to limit keys of rows that may hold an abandoned claim
// of this instance. The caller reads each row once the table is available and
// passes it to ReleaseAbandoned. Otherwise an insertion that took effect late
// would make other instances report an operation as in progress that no instance
// runs.
func (c *Claimer) AbandonedKeys(limit int) []string { return c.abandoned.oldest(limit) }

// ReleaseAbandoned processes the read of an abandoned key. If the row holds a
// claim of this instance that never ran, it returns a transaction that deletes
// the row. An insertion that takes effect after that is taken over by a repeat at
// this instance, or its outcome stays unknown.
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
