package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// Action is the type of an operator's change.
type Action string

const (
	// ApplyLists is the commit of a new pair of lists.
	ApplyLists Action = "apply"
	// KeyIssued is the issue of a key to a workspace.
	KeyIssued Action = "give-key"
	// KeyRevoked is the revocation of a key.
	KeyRevoked Action = "withdraw-key"
)

// AuditEntry records who changed what, when, and the versions before and after. It is
// written in the transaction of the change itself, so there is no change
// without its entry and no entry without its change.
type AuditEntry struct {
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	Action  Action    `json:"action"`
	Attempt string    `json:"attempt"`
	// From and To are versions of the lists; they are equal for keys.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Digest is that of the lists as applied.
	Digest string `json:"digest,omitempty"`
	// Changes are one line each; at most MaxAuditChanges are kept.
	Changes []string `json:"changes,omitempty"`
	// MoreChanges is the number of changes left out of Changes.
	MoreChanges int `json:"moreChanges,omitempty"`
	// Workspace, Key and Label are set for changes of keys. Key is a KeyID,
	// never the key itself.
	Workspace string `json:"workspace,omitempty"`
	Key       string `json:"key,omitempty"`
	Label     string `json:"label,omitempty"`
}

// MaxAuditChanges limits the lines of one entry: an initial list of 55,000
// workspaces would otherwise make an entry of several megabytes.
const MaxAuditChanges = 100

const (
	dayLayout   = "2006-01-02"
	auditLayout = "2006-01-02T15:04:05.000000Z"
)

// key orders entries by time; entries of one day share a prefix.
func (e AuditEntry) key() string {
	return e.At.UTC().Format(auditLayout) + "/" + e.Attempt
}

// entry returns an audit entry of a new attempt. The time is truncated to
// the precision of the entry's key.
func (o *Operator) entry(action Action) AuditEntry {
	return AuditEntry{
		At:      o.settings.Now().UTC().Truncate(time.Microsecond),
		Who:     o.settings.OperatorName,
		Action:  action,
		Attempt: o.settings.NewAttempt(),
	}
}

// AuditQuery selects entries.
type AuditQuery struct {
	// Since excludes older entries. Entries are read one day at a time.
	Since time.Time
	// Attempt selects one attempt; empty selects all.
	Attempt string
}

// Audit returns the entries that match, newest first.
func (o *Operator) Audit(ctx context.Context, q AuditQuery) ([]AuditEntry, error) {
	// Operators' clocks differ, so the following day is read as well.
	last := o.settings.Now().UTC().AddDate(0, 0, 1)
	var entries []AuditEntry
	for day := q.Since.UTC().Truncate(24 * time.Hour); !day.After(last); day = day.AddDate(0, 0, 1) {
		found, err := o.auditPrefix(ctx, day.Format(dayLayout))
		if err != nil {
			return nil, err
		}
		entries = append(entries, found...)
	}
	entries = slices.DeleteFunc(entries, func(e AuditEntry) bool {
		return e.At.Before(q.Since) || (q.Attempt != "" && e.Attempt != q.Attempt)
	})
	slices.SortFunc(entries, func(a, b AuditEntry) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(b.To, a.To), cmp.Compare(a.Attempt, b.Attempt))
	})
	return entries, nil
}

func (o *Operator) auditPrefix(ctx context.Context, prefix string) ([]AuditEntry, error) {
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Audit, Prefix: prefix})
	if err != nil {
		return nil, errors.Wrap(err, "read audit trail")
	}
	var entries []AuditEntry
	for _, row := range c.Rows {
		var e AuditEntry
		if row.Deleted {
			continue
		}
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, errors.Wrapf(err, "audit entry %s", row.Key)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// Resolve reports whether an attempt that ended Unresolved has taken effect.
// False isn't final: the transaction may still be in flight until the rows it
// depends on have changed.
func (o *Operator) Resolve(ctx context.Context, attempt string, since time.Time) (AuditEntry, bool, error) {
	entries, err := o.Audit(ctx, AuditQuery{Since: since, Attempt: attempt})
	if err != nil || len(entries) == 0 {
		return AuditEntry{}, false, err
	}
	return entries[0], true, nil
}
