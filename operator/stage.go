package operator

import (
	"cmp"
	"slices"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/storage"
)

// maxStageRows limits the rows that one transaction changes. The platform
// accepts 1,000 puts, which include the lists row and the audit entry.
const maxStageRows = 900

// stage is the part of a proposal that goes into one transaction.
type stage struct {
	puts       []storage.Put
	conditions []storage.Condition
	// lines are the changes for the audit trail.
	lines []string
	// digest of the lists after the stage.
	digest string
}

// stages splits a proposal. The order makes the result of every stage a valid
// pair of lists: referenced items are added first and removed last, and a
// workspace's keys are removed before the workspace. Only a route that moves
// between services may be missing, or still point to the old service, until
// the next stage.
func (p Proposal) stages(limit int) []stage {
	rows := map[string][]byte{}
	for _, row := range p.Base.Lists.Rows() {
		rows[row.Key] = row.Value
	}
	var stages []stage
	for part := range slices.Chunk(p.steps(), limit) {
		var s stage
		for _, st := range part {
			s.add(st, rows)
		}
		s.digest = lists.DigestRows(rows)
		stages = append(stages, s)
	}
	return stages
}

func (s *stage) add(st step, rows map[string][]byte) {
	s.puts = append(s.puts, st.put)
	if st.condition != nil {
		s.conditions = append(s.conditions, *st.condition)
	}
	s.lines = append(s.lines, st.line)
	if st.put.Delete {
		delete(rows, st.put.Key)
		return
	}
	rows[st.put.Key] = st.put.Value
}

// step is one row of a proposal.
type step struct {
	put       storage.Put
	condition *storage.Condition
	line      string
}

// steps returns the rows in the order in which they may be split.
func (p Proposal) steps() []step {
	changes := slices.Clone(p.Changes)
	slices.SortStableFunc(changes, func(a, b lists.Change) int { return cmp.Compare(rank(a), rank(b)) })
	var steps []step
	for _, c := range changes {
		if c.Kind == lists.Removed && c.Row.Key == config.WorkspacePrefix+c.Name {
			steps = append(steps, p.keysOf(c.Name)...)
		}
		steps = append(steps, p.stepOf(c))
	}
	return steps
}

func (p Proposal) keysOf(workspace string) []step {
	var steps []step
	for _, k := range p.RevokedKeys {
		if k.Workspace == workspace {
			steps = append(steps, step{
				put:  storage.Put{Table: storage.Control, Key: k.row(), Delete: true},
				line: "- key " + k.ID + " of workspace " + workspace,
			})
		}
	}
	return steps
}

// stepOf returns the row of one change. Removing a workspace is conditional on
// its row: issuing a key rewrites that row, so a key issued after the keys were
// read, which would outlive the workspace, makes the change conflict.
func (p Proposal) stepOf(c lists.Change) step {
	removed := c.Kind == lists.Removed
	s := step{
		put:  storage.Put{Table: storage.Control, Key: c.Row.Key, Value: c.Row.Value, Delete: removed},
		line: c.String(),
	}
	if removed && c.Row.Key == config.WorkspacePrefix+c.Name {
		s.condition = &storage.Condition{Table: storage.Control, Key: c.Row.Key, Revision: p.Base.rows[c.Row.Key]}
	}
	return s
}

func rank(c lists.Change) int {
	order := map[string]int{
		config.ServicePrefix:   0,
		config.PlanPrefix:      1,
		config.WorkspacePrefix: 2,
	}[c.Item+"/"]
	if c.Kind == lists.Removed {
		const lastRemoved = 5
		return lastRemoved - order
	}
	return order
}
