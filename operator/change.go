package operator

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// Outcome is the result of an operator's change.
type Outcome string

const (
	// Accepted changes are in the table.
	Accepted Outcome = "accepted"
	// NothingToDo means that the table is already in the requested state.
	NothingToDo Outcome = "nothing-to-do"
	// Conflict means that another operator's change was accepted first and
	// this one had no effect.
	Conflict Outcome = "raced"
	// Unresolved changes got no answer in time. They may have taken
	// effect or may still do so; Resolve reports it once the platform answers.
	Unresolved Outcome = "unresolved"
	// Stopped changes took several versions, and the platform stopped
	// answering after some of them. The others weren't sent.
	Stopped Outcome = "stopped"
)

// change is a transaction with its audit entry.
type change struct {
	conditions []storage.Condition
	puts       []storage.Put
	entry      AuditEntry
}

// commit sends the change until its outcome is known or ctx ends.
//
// After a lost response it is unknown whether the transaction took effect.
// Reading the table doesn't settle it, because the transaction may still be in
// flight. Sending the same transaction again does: its conditions name rows that it
// changes itself, so at most one of all its copies takes effect, and once a
// copy was refused for its conditions, none that is still in flight can
// succeed. The audit entry then shows whether an earlier copy did: it exists
// if and only if the transaction took effect.
func (o *Operator) commit(ctx context.Context, c change) (Outcome, storage.Revision, error) {
	txn, err := o.transaction(c)
	if err != nil {
		return "", 0, err
	}
	for n := 0; ; n++ {
		result, err := o.table.Write(ctx, txn)
		if err != nil {
			return "", 0, errors.Wrap(err, "write")
		}
		switch result.Outcome {
		case storage.Committed:
			return Accepted, result.Revisions[storage.Control], nil
		case storage.Conflict:
			return o.afterConflict(ctx, c.entry)
		case storage.Unknown:
		}
		if o.settings.Pause(ctx, o.backoff(n)) != nil {
			return Unresolved, 0, nil
		}
	}
}

// transaction adds the audit entry on the condition that it doesn't exist yet,
// so that every change has a condition on a row that it writes itself.
func (o *Operator) transaction(c change) (storage.Txn, error) {
	value, err := json.Marshal(c.entry)
	if err != nil {
		return storage.Txn{}, errors.Wrap(err, "encode audit entry")
	}
	key := c.entry.key()
	return storage.Txn{
		Attempt:    c.entry.Attempt,
		Conditions: append(c.conditions, storage.Condition{Table: storage.Audit, Key: key}),
		Puts:       append(c.puts, storage.Put{Table: storage.Audit, Key: key, Value: value}),
	}, nil
}

// afterConflict determines whether an earlier copy of this transaction or
// another operator's change caused the conflict.
func (o *Operator) afterConflict(ctx context.Context, e AuditEntry) (Outcome, storage.Revision, error) {
	for n := 0; ; n++ {
		c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Audit, Prefix: e.key()})
		if err == nil {
			return o.ownOrRaced(ctx, c, e)
		}
		if o.settings.Pause(ctx, o.backoff(n)) != nil {
			return Unresolved, 0, nil
		}
	}
}

// ownOrRaced returns, if the change took effect, a revision at which it is
// certainly in the control table. The revision of the write itself was lost
// with its response; any later one can be waited for instead.
func (o *Operator) ownOrRaced(ctx context.Context, c storage.Changes, e AuditEntry) (Outcome, storage.Revision, error) {
	for _, row := range c.Rows {
		if row.Key == e.key() && !row.Deleted && row.Attempt == e.Attempt {
			return Accepted, o.newestRevision(ctx), nil
		}
	}
	return Conflict, 0, nil
}

// newestRevision returns the control table's revision, or 0 if the platform
// doesn't answer.
func (o *Operator) newestRevision(ctx context.Context) storage.Revision {
	c, err := o.table.Read(ctx, storage.ReadRequest{Table: storage.Control, Prefix: listsPrefix})
	if err != nil {
		return 0
	}
	return c.Revision
}
