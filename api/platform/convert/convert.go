// Package convert turns the types of package platform into those of the HTTP
// API and back. The client and the stand-in share it.
package convert

import (
	"foxtailspoke/api/platform/oas"
	"foxtailspoke/platform"
)

// RowsToAPI returns rows as the API writes them.
func RowsToAPI(rows []platform.Row) []oas.Row {
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
func RowsFromAPI(rows []oas.Row) []platform.Row {
	if len(rows) == 0 {
		return nil
	}
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row{
			Key:      r.Key,
			Value:    r.Value,
			Revision: platform.Revision(r.Revision),
			Attempt:  r.Attempt,
			Deleted:  r.Deleted.Or(false),
		}
	}
	return out
}

// ChangesToAPI returns a read's answer as the API writes it.
func ChangesToAPI(c platform.Changes) *oas.Changes {
	out := &oas.Changes{Revision: oas.Revision(c.Revision), Rows: RowsToAPI(c.Rows)}
	if c.Full {
		out.Full = oas.NewOptBool(true)
	}
	return out
}

// ChangesFromAPI returns a read's answer.
func ChangesFromAPI(c *oas.Changes) platform.Changes {
	return platform.Changes{
		Revision: platform.Revision(c.Revision),
		Rows:     RowsFromAPI(c.Rows),
		Full:     c.Full.Or(false),
	}
}

// TxnToAPI returns a transaction as the API writes it.
func TxnToAPI(t platform.Txn) *oas.Transaction {
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
func TxnFromAPI(t *oas.Transaction) platform.Txn {
	out := platform.Txn{Attempt: string(t.Attempt)}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, platform.Condition{
			Table:    platform.TableName(c.Table),
			Key:      string(c.Key),
			Revision: platform.Revision(c.Revision),
		})
	}
	for _, p := range t.Puts {
		out.Puts = append(out.Puts, platform.Put{
			Table:  platform.TableName(p.Table),
			Key:    string(p.Key),
			Value:  p.Value,
			Delete: p.Delete.Or(false),
		})
	}
	return out
}

// RevisionsToAPI returns the revisions that a commit gave, by table name.
func RevisionsToAPI(revisions map[platform.TableName]platform.Revision) []oas.TableRevision {
	out := []oas.TableRevision{}
	for _, t := range []platform.TableName{platform.Audit, platform.Claims, platform.Control} {
		if r, ok := revisions[t]; ok {
			out = append(out, oas.TableRevision{Table: oas.TableName(t), Revision: oas.Revision(r)})
		}
	}
	return out
}

// RevisionsFromAPI returns the revisions that a commit gave.
func RevisionsFromAPI(revisions []oas.TableRevision) map[platform.TableName]platform.Revision {
	out := make(map[platform.TableName]platform.Revision, len(revisions))
	for _, r := range revisions {
		out[platform.TableName(r.Table)] = platform.Revision(r.Revision)
	}
	return out
}
