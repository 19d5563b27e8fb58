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
	"foxtailspoke/platform"
)

// Proposal is a change of the lists that isn't sent yet.
type Proposal struct {
	// Base is what the change was made from.
	Base Snapshot
	// Changes are the differences from Base.
	Changes []lists.Change
	// Withdrawn are the keys of removed workspaces. They go with them, so
	// that a workspace added again later doesn't find old keys working.
	Withdrawn []KeyInfo
	digest    string
}

// Empty tells whether there is nothing to change.
func (p Proposal) Empty() bool { return len(p.Changes) == 0 }

// Applied is the end of a change of the lists.
type Applied struct {
	Outcome Outcome `json:"outcome"`
	// Version is that of the new lists; for NothingToDo and Raced it is the
	// version that stands now.
	Version uint64 `json:"version"`
	// Revision of the control table to wait for; 0 if it isn't known.
	Revision platform.Revision `json:"revision"`
	// Attempt identifies the change in the audit trail.
	Attempt string `json:"attempt,omitempty"`
	// Winners are, for Raced, the changes accepted since Base, oldest first.
	Winners []AuditEntry `json:"winners,omitempty"`
}

// Propose compares checked lists with the accepted ones.
func (o *Operator) Propose(ctx context.Context, to lists.Lists) (Proposal, error) {
	base, err := o.Current(ctx)
	if err != nil {
		return Proposal{}, err
	}
	p := Proposal{Base: base, Changes: lists.Diff(base.Lists, to), digest: to.Digest()}
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
			p.Withdrawn = append(p.Withdrawn, k)
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

// Commit sends a proposal, on the condition that the lists are still those
// that it was made from. Of racing operators one at most wins.
func (o *Operator) Commit(ctx context.Context, p Proposal) (Applied, error) {
	if p.Empty() {
		return Applied{Outcome: NothingToDo, Version: p.Base.Version}, nil
	}
	c, err := o.listsChange(p)
	if err != nil {
		return Applied{}, err
	}
	a := Applied{Version: c.entry.To, Attempt: c.entry.Attempt}
	a.Outcome, a.Revision, err = o.commit(ctx, c)
	if err != nil || a.Outcome != Raced {
		return a, err
	}
	a.Version, a.Winners = o.winners(ctx, p)
	return a, nil
}

func (o *Operator) listsChange(p Proposal) (change, error) {
	e := o.entry(ApplyLists)
	e.From, e.To, e.Digest = p.Base.Version, p.Base.Version+1, p.digest
	for _, c := range p.Changes[:min(len(p.Changes), MaxAuditChanges)] {
		e.Changes = append(e.Changes, c.String())
	}
	e.MoreChanges = len(p.Changes) - len(e.Changes)
	row, err := json.Marshal(config.Lists{Version: e.To, Digest: e.Digest})
	if err != nil {
		return change{}, errors.Wrap(err, "encode lists row")
	}
	c := change{
		entry:      e,
		conditions: []platform.Condition{{Table: platform.Control, Key: config.ListsKey, Revision: p.Base.Revision}},
		puts:       []platform.Put{{Table: platform.Control, Key: config.ListsKey, Value: row}},
	}
	for _, item := range p.Changes {
		c.addItem(p.Base, item)
	}
	for _, k := range p.Withdrawn {
		c.puts = append(c.puts, platform.Put{Table: platform.Control, Key: k.row(), Delete: true})
	}
	return c, nil
}

// addItem adds one row to the transaction. Removing a workspace also depends
// on its row: giving a key rewrites it, so a key that was given after the
// keys were read, and would be left behind, makes the change lose the race.
func (c *change) addItem(base Snapshot, item lists.Change) {
	key := item.Row.Key
	removed := item.Kind == lists.Removed
	c.puts = append(c.puts, platform.Put{Table: platform.Control, Key: key, Value: item.Row.Value, Delete: removed})
	if removed && strings.HasPrefix(key, config.WorkspacePrefix) {
		c.conditions = append(c.conditions, platform.Condition{Table: platform.Control, Key: key, Revision: base.rows[key]})
	}
}

// winners returns the version that stands and who brought it there. It is
// for the loser's information: if the platform doesn't answer, it is empty.
func (o *Operator) winners(ctx context.Context, p Proposal) (uint64, []AuditEntry) {
	now, err := o.listsRow(ctx)
	if err != nil {
		return 0, nil
	}
	entries, err := o.Audit(ctx, AuditQuery{Since: o.settings.Now().Add(-winnersSince)})
	if err != nil {
		return now.Version, nil
	}
	won := slices.DeleteFunc(entries, func(e AuditEntry) bool { return !p.lostTo(e) })
	slices.Reverse(won)
	return now.Version, won
}

// winnersSince is how far back a race is looked for.
const winnersSince = 24 * time.Hour

// lostTo tells whether an accepted change is one that made p lose: lists that
// came after its base, or a key for a workspace that it removes.
func (p Proposal) lostTo(e AuditEntry) bool {
	switch e.Action {
	case ApplyLists:
		return e.To > p.Base.Version
	case GaveKey:
		known := func(k KeyInfo) bool { return k.ID == e.Key }
		return slices.Contains(removedWorkspaces(p.Changes), e.Workspace) && !slices.ContainsFunc(p.Withdrawn, known)
	default:
		return false
	}
}
