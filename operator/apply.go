package operator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/storage"
)

// Proposal is a change of the lists that has not been committed.
type Proposal struct {
	// Base is the snapshot that the change is based on.
	Base Snapshot
	// Changes are the differences from Base.
	Changes []lists.Change
	// RevokedKeys are the keys of removed workspaces. They are deleted
	// together, so that old keys don't become valid if a workspace of the
	// same name is added later.
	RevokedKeys []KeyInfo
}

// Empty reports whether the proposal has no changes.
func (p Proposal) Empty() bool { return len(p.Changes) == 0 }

// Applied is the result of committing a Proposal.
type Applied struct {
	Outcome Outcome `json:"outcome"`
	// Version is that of the new lists; for NothingToDo and Conflict it is the
	// current version.
	Version uint64 `json:"version"`
	// Revision of the control table to wait for; 0 if it isn't known.
	Revision storage.Revision `json:"revision"`
	// Attempt identifies the change in the audit trail.
	Attempt string `json:"attempt,omitempty"`
	// Stages is the progress of a proposal that takes several versions.
	Stages Stages `json:"stages"`
	// ConflictingChanges are, for Conflict, the changes accepted since Base,
	// oldest first.
	ConflictingChanges []AuditEntry `json:"winners,omitempty"`
}

// Stages counts the versions that a proposal takes.
type Stages struct {
	Of int `json:"of"`
	// Accepted is the number of versions in the table, also if a later one
	// failed.
	Accepted int `json:"accepted"`
}

// Propose compares validated lists with the accepted ones.
func (o *Operator) Propose(ctx context.Context, to lists.Lists) (Proposal, error) {
	base, err := o.Current(ctx)
	if err != nil {
		return Proposal{}, err
	}
	p := Proposal{Base: base, Changes: lists.Diff(base.Lists, to)}
	removed := removedWorkspaces(p.Changes)
	if len(removed) == 0 {
		return p, nil
	}
	keys, err := o.ListKeys(ctx, "")
	if err != nil {
		return Proposal{}, err
	}
	for _, k := range keys {
		if slices.Contains(removed, k.Workspace) {
			p.RevokedKeys = append(p.RevokedKeys, k)
		}
	}
	return p, nil
}

func removedWorkspaces(changes []lists.Change) []string {
	var names []string
	for _, c := range changes {
		if name, ok := strings.CutPrefix(c.Row.Key, config.WorkspacePrefix); ok && c.Kind == lists.Removed {
			names = append(names, name)
		}
	}
	return names
}

// Commit writes a proposal on the condition that the lists still match its
// base. At most one of several concurrent proposals succeeds.
//
// A proposal with more rows than one transaction accepts is written as several
// versions, each a valid pair of lists that the next one depends on. If one
// fails, the previous ones stay in the table; see Applied.Stages.
func (o *Operator) Commit(ctx context.Context, p Proposal) (Applied, error) {
	if p.Empty() {
		return Applied{Outcome: NothingToDo, Version: p.Base.Version}, nil
	}
	stages := p.stages(o.stageRows)
	base := p.Base
	for done, stage := range stages {
		a, err := o.commitStage(ctx, p, base, stage)
		a.Stages = Stages{Of: len(stages), Accepted: done}
		if err != nil || a.Outcome != Accepted {
			return a, err
		}
		a.Stages.Accepted++
		if done == len(stages)-1 {
			return a, nil
		}
		next, err := o.after(ctx, a)
		if err != nil {
			a.Outcome = Stopped
			return a, nil
		}
		base = next
	}
	return Applied{}, errors.AssertionFailedf("a proposal that isn't empty has no stage")
}

// after returns the lists row as the previous stage wrote it. If another
// operator has changed it since, the next stage's condition fails.
func (o *Operator) after(ctx context.Context, a Applied) (Snapshot, error) {
	s, err := o.listsRow(ctx)
	for n := 0; err != nil; n++ {
		if o.settings.Pause(ctx, o.backoff(n)) != nil {
			return Snapshot{}, err
		}
		s, err = o.listsRow(ctx)
	}
	if s.attempt != a.Attempt {
		s.Version, s.Revision = a.Version, invalidRevision
	}
	return s, nil
}

// invalidRevision matches no row, so that a condition on it fails.
const invalidRevision = ^storage.Revision(0)

func (o *Operator) commitStage(ctx context.Context, p Proposal, base Snapshot, s stage) (Applied, error) {
	c, err := o.listsChange(base, s)
	if err != nil {
		return Applied{}, err
	}
	a := Applied{Version: c.entry.To, Attempt: c.entry.Attempt}
	a.Outcome, a.Revision, err = o.commit(ctx, c)
	if err != nil || a.Outcome != Conflict {
		return a, err
	}
	p.Base.Version = base.Version
	a.Version, a.ConflictingChanges = o.winners(ctx, p)
	return a, nil
}

func (o *Operator) listsChange(base Snapshot, s stage) (change, error) {
	e := o.entry(ApplyLists)
	e.From, e.To, e.Digest = base.Version, base.Version+1, s.digest
	e.Changes = s.lines[:min(len(s.lines), MaxAuditChanges)]
	e.MoreChanges = len(s.lines) - len(e.Changes)
	row, err := json.Marshal(config.ListsVersion{Version: e.To, Digest: e.Digest})
	if err != nil {
		return change{}, errors.Wrap(err, "encode lists row")
	}
	return change{
		entry: e,
		conditions: append(s.conditions,
			storage.Condition{Table: storage.Control, Key: config.ListsKey, Revision: base.Revision}),
		puts: append(s.puts, storage.Put{Table: storage.Control, Key: config.ListsKey, Value: row}),
	}, nil
}

// winners returns the current version and the changes that led to it. The
// result is informational: it is empty if the platform doesn't answer.
func (o *Operator) winners(ctx context.Context, p Proposal) (uint64, []AuditEntry) {
	now, err := o.listsRow(ctx)
	if err != nil {
		return 0, nil
	}
	entries, err := o.Audit(ctx, AuditQuery{Since: o.settings.Now().Add(-winnersLookback)})
	if err != nil {
		return now.Version, nil
	}
	won := slices.DeleteFunc(entries, func(e AuditEntry) bool { return !p.conflictsWith(e) })
	slices.Reverse(won)
	return now.Version, won
}

// winnersLookback is how far back conflicting changes are searched for.
const winnersLookback = 24 * time.Hour

// conflictsWith reports whether an accepted change made p conflict: lists newer
// than its base, or a key for a workspace that it removes.
func (p Proposal) conflictsWith(e AuditEntry) bool {
	switch e.Action {
	case ApplyLists:
		return e.To > p.Base.Version
	case KeyIssued:
		known := func(k KeyInfo) bool { return k.ID == e.Key }
		return slices.Contains(removedWorkspaces(p.Changes), e.Workspace) && !slices.ContainsFunc(p.RevokedKeys, known)
	default:
		return false
	}
}
