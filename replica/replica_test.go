package replica_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/replica"
)

func put(key, value string) replica.Row { return replica.Row{Key: key, Value: []byte(value)} }

func gone(key string) replica.Row { return replica.Row{Key: key, Gone: true} }

func full(version uint64, rows ...replica.Row) replica.ReadResult {
	return replica.ReadResult{Rows: rows, Version: version, Full: true}
}

func changes(version uint64, rows ...replica.Row) replica.ReadResult {
	return replica.ReadResult{Rows: rows, Version: version}
}

func TestApplyReturnsDifferences(t *testing.T) {
	c := replica.NewTable()
	changed, ok := c.Apply(full(5, put("a", "1"), put("b", "1")), 0)
	must.True(t, ok)
	must.Len(t, 2, changed)
	changed, ok = c.Apply(changes(7, put("a", "1"), put("b", "2")), 5)
	must.True(t, ok)
	must.Eq(t, []replica.Row{put("b", "2")}, changed)
	changed, ok = c.Apply(changes(9, gone("a"), gone("x")), 6)
	must.True(t, ok)
	must.Eq(t, []replica.Row{gone("a")}, changed)
	changed, _ = c.Apply(full(10, put("c", "1")), 0)
	must.Len(t, 2, changed)
	must.Eq(t, []replica.Row{put("c", "1")}, c.Rows())
}

// A message was lost, and the next one holds only the changes after it.
// Applying it would keep a removed server in the replica for good.
func TestApplyRejectsChangesAfterGap(t *testing.T) {
	c := replica.NewTable()
	_, ok := c.Apply(changes(3, put("a", "1")), 0)
	must.False(t, ok)
	c.Apply(full(5, put("a", "1")), 0)
	_, ok = c.Apply(changes(9, put("b", "1")), 7)
	must.False(t, ok)
	v, known := c.Version()
	must.True(t, known)
	must.Eq(t, 5, v)
}

// Responses may arrive out of order. The replica never goes back, so that an
// instance never returns to a former configuration.
func TestApplyIgnoresOlderReads(t *testing.T) {
	c := replica.NewTable()
	c.Apply(full(9, put("a", "new")), 0)
	for _, a := range []replica.ReadResult{full(8, put("a", "old")), changes(8, put("a", "old"))} {
		changed, ok := c.Apply(a, 7)
		must.True(t, ok)
		must.Len(t, 0, changed)
	}
	must.Eq(t, []replica.Row{put("a", "new")}, c.Rows())
}

func versioned(key, value string, version uint64) replica.Row {
	return replica.Row{Key: key, Value: []byte(value), Version: version}
}

func TestBatchesCombinesSeveralReads(t *testing.T) {
	var r replica.RecentChanges
	a1, b1, a2 := versioned("a", "1", 2), versioned("b", "1", 3), versioned("a", "2", 4)
	r.Add(1, 2, []replica.Row{a1})
	r.Add(2, 3, []replica.Row{b1})
	r.Add(3, 9, []replica.Row{a2})
	must.Eq(t, []replica.ChangeBatch{{Since: 1, Version: 9, Rows: []replica.Row{b1, a2}}}, r.Batches(9, 1000))
	r.Add(9, 10, nil)
	r.Add(10, 11, nil)
	must.Eq(t, []replica.ChangeBatch{{Since: 2, Version: 11, Rows: []replica.Row{b1, a2}}}, r.Batches(11, 1000))
	r.Reset()
	r.Add(11, 12, nil)
	must.Eq(t, []replica.ChangeBatch{{Since: 11, Version: 12}}, r.Batches(12, 1000))
}

// Changes too large for one message are split into batches. A receiver that
// gets only the first must detect at the next that one is missing.
func TestBatchesAreConsecutive(t *testing.T) {
	var r replica.RecentChanges
	var rows []replica.Row
	for v := range uint64(40) {
		rows = append(rows, versioned(string(rune('A'+v)), "0123456789", 10+v/2))
	}
	r.Add(9, 50, rows)
	parts := r.Batches(50, 100)
	must.Greater(t, 3, len(parts))
	c := replica.NewTable()
	c.Apply(full(9), 0)
	since := uint64(9)
	for _, p := range parts {
		must.Eq(t, since, p.Since)
		_, ok := c.Apply(replica.ReadResult{Rows: p.Rows, Version: p.Version}, p.Since)
		must.True(t, ok)
		since = p.Version
	}
	must.Eq(t, 50, since)
	must.Len(t, 40, c.Rows())
	missed := replica.NewTable()
	missed.Apply(full(9), 0)
	_, ok := missed.Apply(replica.ReadResult{Rows: parts[1].Rows, Version: parts[1].Version}, parts[1].Since)
	must.False(t, ok)
}

// Two instances take turns in asking the store, and their change ranges leave a
// gap. Sent as one range, a receiver that missed the notice in between would
// keep using a server that has left.
func TestAddDropsChangesBeforeGap(t *testing.T) {
	var r replica.RecentChanges
	r.Add(80, 90, []replica.Row{versioned("a", "1", 85)})
	r.Add(110, 120, []replica.Row{versioned("b", "1", 115)})
	parts := r.Batches(120, 1000)
	must.Len(t, 1, parts)
	must.Eq(t, 110, parts[0].Since)
	must.Len(t, 1, parts[0].Rows)
}

// A store restored from a backup has lower versions. Its responses were taken
// for old ones, and no change reached the replica any more.
func TestLaterEraSupersedesHigherVersions(t *testing.T) {
	c := replica.NewTable()
	c.Apply(full(56, put("a", "1")), 0)
	later := changes(60, put("a", "2"))
	later.Era = 1
	_, ok := c.Apply(later, 56)
	must.False(t, ok)
	restored := full(40, put("a", "0"))
	restored.Era = 1
	changed, ok := c.Apply(restored, 0)
	must.True(t, ok)
	must.Eq(t, []replica.Row{put("a", "0")}, changed)
	changed, ok = c.Apply(full(57, put("a", "1")), 0)
	must.True(t, ok)
	must.Len(t, 0, changed)
	at, _ := c.Position()
	must.Eq(t, replica.Position{Era: 1, Version: 40}, at)
}

// Two reads overlap, so that the second one holds a change that was applied already, and a
// newer one of the same row. Guards against bringing back the older row.
func TestApplyNeverBringsBackAnOlderRow(t *testing.T) {
	c := replica.NewTable()
	older, newer := versioned("a", "1", 6), versioned("a", "2", 7)
	c.Apply(full(5, versioned("a", "0", 3)), 0)
	for i, want := range [][]replica.Row{{older, newer}, nil} {
		changed, ok := c.Apply(changes(8, older, newer), 5)
		must.True(t, ok)
		must.Eq(t, want, changed, must.Sprintf("read %d", i))
		must.Eq(t, []replica.Row{newer}, c.Rows())
	}
	changed, ok := c.Apply(changes(9, replica.Row{Key: "a", Gone: true, Version: 7}), 5)
	must.True(t, ok)
	must.SliceEmpty(t, changed)
	must.Eq(t, []replica.Row{newer}, c.Rows())
}
