package lists

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxtailspoke/config"
)

// ChangeKind is the kind of a change to an item.
type ChangeKind string

const (
	// Added items are only in the new lists.
	Added ChangeKind = "added"
	// Removed items are only in the old lists.
	Removed ChangeKind = "removed"
	// Changed items are in both with different contents.
	Changed ChangeKind = "changed"
)

// Change is one difference between two pairs of lists.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is "workspace", "plan" or "service".
	Item string `json:"item"`
	Name string `json:"name"`
	// Details describe the differences for operators.
	Details []string `json:"details,omitempty"`
	// Row is the row to write; its Value is nil for Removed.
	Row Row `json:"-"`
}

// String returns the change in one line of plain text.
func (c Change) String() string {
	sign := map[ChangeKind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	line := fmt.Sprintf("%s %s %s", sign, c.Item, c.Name)
	if len(c.Details) > 0 {
		line += ": " + strings.Join(c.Details, "; ")
	}
	return line
}

// Diff returns the changes that turn one pair of lists into another, ordered by
// row key.
func Diff(from, to Lists) []Change {
	before := map[string][]byte{}
	for _, row := range from.Rows() {
		before[row.Key] = row.Value
	}
	var changes []Change
	for _, row := range to.Rows() {
		old, existed := before[row.Key]
		delete(before, row.Key)
		if existed && bytes.Equal(old, row.Value) {
			continue
		}
		changes = append(changes, newChange(row, old, existed))
	}
	for key := range before {
		item, name, _ := strings.Cut(key, "/")
		changes = append(changes, Change{Kind: Removed, Item: item, Name: name, Row: Row{Key: key}})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Row.Key, b.Row.Key) })
	return changes
}

func newChange(row Row, old []byte, existed bool) Change {
	item, name, _ := strings.Cut(row.Key, "/")
	c := Change{Kind: Added, Item: item, Name: name, Row: row}
	if existed {
		c.Kind = Changed
	}
	before, after := describeRow(item, old), describeRow(item, row.Value)
	for _, f := range slices.Sorted(maps.Keys(after)) {
		if before[f] != after[f] {
			c.Details = append(c.Details, describeDifference(f, before[f], after[f]))
		}
	}
	for _, f := range slices.Sorted(maps.Keys(before)) {
		if _, exists := after[f]; !exists {
			c.Details = append(c.Details, describeDifference(f, before[f], ""))
		}
	}
	return c
}

func describeDifference(attribute, before, after string) string {
	switch {
	case before == "":
		return attribute + " " + after
	case after == "":
		return attribute + " " + before + " is removed"
	default:
		return attribute + " " + before + " becomes " + after
	}
}

// describeRow returns the attributes of a row as text, by name.
func describeRow(item string, value []byte) map[string]string {
	attributes := map[string]string{}
	if value == nil {
		return attributes
	}
	switch item + "/" {
	case config.WorkspacePrefix:
		var w config.Workspace
		_ = json.Unmarshal(value, &w)
		attributes["plan"] = w.Plan
	case config.PlanPrefix:
		var p config.Plan
		_ = json.Unmarshal(value, &p)
		for name, l := range p.Services {
			attributes["service "+name] = limitText(l)
		}
	case config.ServicePrefix:
		var s config.Service
		_ = json.Unmarshal(value, &s)
		describeService(attributes, s)
	}
	return attributes
}

func describeService(attributes map[string]string, s config.Service) {
	attributes["floor"] = strconv.Itoa(s.Floor)
	attributes["time-out"] = time.Duration(s.Timeout).String()
	if s.Probe != "" {
		attributes["probe"] = "GET " + s.Probe
	}
	for _, r := range s.Routes {
		attributes["route "+r.Prefix] = idempotentText(r.Idempotent)
	}
}

func limitText(l config.Limit) string {
	return fmt.Sprintf("(%s a second, burst %s)",
		strconv.FormatFloat(l.Rate, 'f', -1, 64), strconv.FormatFloat(l.Burst, 'f', -1, 64))
}

func idempotentText(b *bool) string {
	switch {
	case b == nil:
		return "(repeatable by its method)"
	case *b:
		return "(always repeatable)"
	default:
		return "(never repeatable)"
	}
}
