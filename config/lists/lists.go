// Package lists parses, validates and compares the two lists that operators edit:
// the customers' list (the plan of each workspace) and the plans' list (the
// services, and the limits of each plan for them).
//
// The lists are stored as rows of the control table, one for each workspace, plan
// and service, so that an update transfers only the rows that changed.
package lists

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// Lists holds both lists. They are validated and accepted together and share one
// version.
type Lists struct {
	Workspaces map[string]config.Workspace
	Plans      map[string]config.Plan
	Services   map[string]config.Service
}

// Empty returns lists without entries.
func Empty() Lists {
	return Lists{
		Workspaces: map[string]config.Workspace{},
		Plans:      map[string]config.Plan{},
		Services:   map[string]config.Service{},
	}
}

// Row is one row of the control table.
type Row struct {
	Key   string
	Value []byte
}

// Rows returns the lists as rows of the control table, ordered by key. The
// encoding is deterministic: equal lists give equal bytes.
func (l Lists) Rows() []Row {
	rows := make([]Row, 0, len(l.Workspaces)+len(l.Plans)+len(l.Services))
	rows = appendRows(rows, config.PlanPrefix, l.Plans)
	rows = appendRows(rows, config.ServicePrefix, l.Services)
	rows = appendRows(rows, config.WorkspacePrefix, l.Workspaces)
	return rows
}

func appendRows[V any](rows []Row, prefix string, m map[string]V) []Row {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		value, err := json.Marshal(m[name])
		if err != nil {
			// Validated lists hold only finite numbers and strings, which can
			// always be encoded.
			panic(errors.Wrapf(err, "encode %s%s", prefix, name))
		}
		rows = append(rows, Row{Key: prefix + name, Value: value})
	}
	return rows
}

// Digest returns the SHA-256 of the lists' rows, in hex.
func (l Lists) Digest() string {
	rows := map[string][]byte{}
	for _, row := range l.Rows() {
		rows[row.Key] = row.Value
	}
	return DigestRows(rows)
}

// DigestRows returns the SHA-256, in hex, of the lists that consist of these rows.
func DigestRows(rows map[string][]byte) string {
	h := sha256.New()
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		h.Write([]byte(key))
		h.Write([]byte{0})
		h.Write(rows[key])
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// FromRows decodes the lists from rows of the control table. Rows of other kinds
// and tombstones are skipped.
func FromRows(rows []storage.Row) (Lists, error) {
	l := Empty()
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		if err := l.add(row); err != nil {
			return Lists{}, errors.Wrapf(err, "row %s", row.Key)
		}
	}
	return l, nil
}

func (l Lists) add(row storage.Row) error {
	if name, ok := strings.CutPrefix(row.Key, config.WorkspacePrefix); ok {
		w := config.Workspace{Name: name}
		err := json.Unmarshal(row.Value, &w)
		l.Workspaces[name] = w
		return err
	}
	if name, ok := strings.CutPrefix(row.Key, config.PlanPrefix); ok {
		p := config.Plan{Name: name}
		err := json.Unmarshal(row.Value, &p)
		l.Plans[name] = p
		return err
	}
	if name, ok := strings.CutPrefix(row.Key, config.ServicePrefix); ok {
		s := config.Service{Name: name}
		err := json.Unmarshal(row.Value, &s)
		l.Services[name] = s
		return err
	}
	return nil
}
