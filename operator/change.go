package operator

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// Outcome is how an operator's change ended.
type Outcome string

const (
	// Accepted changes are in the table.
	Accepted Outcome = "accepted"
	// NothingToDo means that the table is already as wanted.
	NothingToDo Outcome = "nothing-to-do"
	// Raced changes lost against another operator's. Nothing took effect.
	Raced Outcome = "raced"
	// Unresolved changes got no answer in time. They took effect, or they
	// didn't, or they still may: Resolve finds out once the platform answers.
	Unresolved Outcome = "unresolved"
	// Stopped changes took several versions, and the platform ceased to
	// answer after some of them. The others weren't sent.
	Stopped Outcome = "stopped"
)

// change is a transaction with its audit entry.
type change struct {
	conditions []storage.Condition
	puts       []storage.Put
	entry      AuditEntry
}

// commit sends the change until its end is known or ctx ends.
//
// A lost answer leaves open whether the transaction took effect. Reading the
// table doesn't settle it, because the transaction may still be on its way.
// Sending the same transaction again does: its conditions name rows that it
// changes itself, so at most one of all its copies takes effect, and once a
// copy was refused for its conditions, none that is still on its way can
// succeed. Whether an earlier copy did is then told by the audit entry, which
// is there if and only if the transaction took effect.
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

// transaction adds the audit entry, on the condition that it isn't there yet:
// so every change has a condition on a row that it writes itself.
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

// afterConflict tells an own earlier success from another's.
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

// ownOrRaced returns, for an own success, a revision at which the change is
// certainly in the control table. The revision of the write itself was lost
// with its answer; any later one serves to wait for.
func (o *Operator) ownOrRaced(ctx context.Context, c storage.Changes, e AuditEntry) (Outcome, storage.Revision, error) {
	for _, row := range c.Rows {
		if row.Key == e.key() && !row.Deleted && row.Attempt == e.Attempt {
			return Accepted, o.newestRevision(ctx), nil
		}
	}
	return Raced, 0, nil
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
