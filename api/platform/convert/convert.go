// Package convert turns the types of package platform into those of the HTTP
// API and back. The client and the stand-in share it.
package convert

import (
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

// RowsToAPI returns rows as the API writes them.
func RowsToAPI(rows []storage.Row) []oas.Row {
	out := make([]oas.Row, len(rows))
	for i, r := range rows {
		out[i] = oas.Row{
			Key:      r.Key,
			Value:    r.Value,
			Revision: oas.Revision(r.Revision),
			Attempt:  r.Attempt,
		}
		if r.Deleted {
			out[i].Deleted = oas.NewOptBool(true)
		}
	}
	return out
}

// RowsFromAPI returns rows read from the API.
func RowsFromAPI(rows []oas.Row) []storage.Row {
	if len(rows) == 0 {
		return nil
	}
	out := make([]storage.Row, len(rows))
	for i, r := range rows {
		out[i] = storage.Row{
			Key:      r.Key,
			Value:    r.Value,
			Revision: storage.Revision(r.Revision),
			Attempt:  r.Attempt,
			Deleted:  r.Deleted.Or(false),
		}
	}
	return out
}

// ChangesToAPI returns a read's answer as the API writes it.
func ChangesToAPI(c storage.Changes) *oas.Changes {
	out := &oas.Changes{Revision: oas.Revision(c.Revision), Rows: RowsToAPI(c.Rows)}
	if c.Full {
		out.Full = oas.NewOptBool(true)
	}
	return out
}

// ChangesFromAPI returns a read's answer.
func ChangesFromAPI(c *oas.Changes) storage.Changes {
	return storage.Changes{
		Revision: storage.Revision(c.Revision),
		Rows:     RowsFromAPI(c.Rows),
		Full:     c.Full.Or(false),
	}
}

// TxnToAPI returns a transaction as the API writes it.
func TxnToAPI(t storage.Txn) *oas.Transaction {
	out := &oas.Transaction{Attempt: oas.Attempt(t.Attempt)}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, oas.Condition{
			Table:    oas.TableName(c.Table),
			Key:      oas.RowKey(c.Key),
			Revision: oas.Revision(c.Revision),
		})
	}
	for _, p := range t.Puts {
		put := oas.Put{Table: oas.TableName(p.Table), Key: oas.RowKey(p.Key)}
		if p.Delete {
			put.Delete = oas.NewOptBool(true)
		} else {
			put.Value = p.Value
		}
		out.Puts = append(out.Puts, put)
	}
	return out
}

// TxnFromAPI returns a transaction read from the API.
func TxnFromAPI(t *oas.Transaction) storage.Txn {
	out := storage.Txn{Attempt: string(t.Attempt)}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, storage.Condition{
			Table:    storage.TableName(c.Table),
			Key:      string(c.Key),
			Revision: storage.Revision(c.Revision),
		})
	}
	for _, p := range t.Puts {
		out.Puts = append(out.Puts, storage.Put{
			Table:  storage.TableName(p.Table),
			Key:    string(p.Key),
			Value:  p.Value,
			Delete: p.Delete.Or(false),
		})
	}
	return out
}

// RevisionsToAPI returns the revisions that a commit gave, by table name.
func RevisionsToAPI(revisions map[storage.TableName]storage.Revision) []oas.TableRevision {
	out := []oas.TableRevision{}
	for _, t := range []storage.TableName{storage.Audit, storage.Claims, storage.Control} {
		if r, ok := revisions[t]; ok {
			out = append(out, oas.TableRevision{Table: oas.TableName(t), Revision: oas.Revision(r)})
		}
	}
	return out
}

// RevisionsFromAPI returns the revisions that a commit gave.
func RevisionsFromAPI(revisions []oas.TableRevision) map[storage.TableName]storage.Revision {
	out := make(map[storage.TableName]storage.Revision, len(revisions))
	for _, r := range revisions {
		out[storage.TableName(r.Table)] = storage.Revision(r.Revision)
	}
	return out
}
