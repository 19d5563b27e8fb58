package operator

import (
	"cmp"
	"slices"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/storage"
)

// maxStageRows bounds the rows that one transaction changes. The platform
// takes 1,000 puts; the lists row and the audit entry come on top.
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

// stages cuts a proposal. The order makes every cut a pair of lists that
// instances can serve by: what others refer to comes first and goes last, and
// a workspace's keys go before the workspace. Only a route that moves between
// services may be missing, or still lead to the old one, until the next stage.
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

// steps returns the rows in the order in which they may be cut.
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
	for _, k := range p.Withdrawn {
		if k.Workspace == workspace {
			steps = append(steps, step{
				put:  storage.Put{Table: storage.Control, Key: k.row(), Delete: true},
				line: "- key " + k.ID + " of workspace " + workspace,
			})
		}
	}
	return steps
}

// stepOf returns the row of one change. Removing a workspace also depends on
// its row: giving a key rewrites it, so a key that was given after the keys
// were read, and would be left behind, makes the change lose the race.
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
