package replica_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/replica"
)

func put(key, value string) replica.Row { return replica.Row{Key: key, Value: []byte(value)} }

func gone(key string) replica.Row { return replica.Row{Key: key, Gone: true} }

func whole(version uint64, rows ...replica.Row) replica.ReadResult {
	return replica.ReadResult{Rows: rows, Version: version, Full: true}
}

func changes(version uint64, rows ...replica.Row) replica.ReadResult {
	return replica.ReadResult{Rows: rows, Version: version}
}

func TestApplyTellsWhatDiffers(t *testing.T) {
	c := replica.NewTable()
	changed, ok := c.Apply(whole(5, put("a", "1"), put("b", "1")), 0)
	must.True(t, ok)
	must.Len(t, 2, changed)
	changed, ok = c.Apply(changes(7, put("a", "1"), put("b", "2")), 5)
	must.True(t, ok)
	must.Eq(t, []replica.Row{put("b", "2")}, changed)
	changed, ok = c.Apply(changes(9, gone("a"), gone("x")), 6)
	must.True(t, ok)
	must.Eq(t, []replica.Row{gone("a")}, changed)
	changed, _ = c.Apply(whole(10, put("c", "1")), 0)
	must.Len(t, 2, changed)
	must.Eq(t, []replica.Row{put("c", "1")}, c.Rows())
}

// A message was lost, and the next one tells only what came after it. Taking
// it in would leave a removed server in the copy for good.
func TestChangesAfterAGapAreRefused(t *testing.T) {
	c := replica.NewTable()
	_, ok := c.Apply(changes(3, put("a", "1")), 0)
	must.False(t, ok)
	c.Apply(whole(5, put("a", "1")), 0)
	_, ok = c.Apply(changes(9, put("b", "1")), 7)
	must.False(t, ok)
	v, known := c.Version()
	must.True(t, known)
	must.Eq(t, 5, v)
}

// Answers may arrive in another order than they were made. The copy never goes
// back, so that an instance never returns to a configuration that it has left.
func TestOlderAnswersChangeNothing(t *testing.T) {
	c := replica.NewTable()
	c.Apply(whole(9, put("a", "new")), 0)
	for _, a := range []replica.ReadResult{whole(8, put("a", "old")), changes(8, put("a", "old"))} {
		changed, ok := c.Apply(a, 7)
		must.True(t, ok)
		must.Len(t, 0, changed)
	}
	must.Eq(t, []replica.Row{put("a", "new")}, c.Rows())
}

func versioned(key, value string, version uint64) replica.Row {
	return replica.Row{Key: key, Value: []byte(value), Version: version}
}

func TestRecentTellsSeveralAnswersTogether(t *testing.T) {
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

// Many servers change at once, too many for one message. Each part must be
// whole in itself: a receiver that gets only the first must notice at the
// next that something is missing.
func TestManyChangesAreToldInPartsThatFollowEachOther(t *testing.T) {
	var r replica.RecentChanges
	var rows []replica.Row
	for v := range uint64(40) {
		rows = append(rows, versioned(string(rune('A'+v)), "0123456789", 10+v/2))
	}
	r.Add(9, 50, rows)
	parts := r.Batches(50, 100)
	must.Greater(t, 3, len(parts))
	c := replica.NewTable()
	c.Apply(whole(9), 0)
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
	missed.Apply(whole(9), 0)
	_, ok := missed.Apply(replica.ReadResult{Rows: parts[1].Rows, Version: parts[1].Version}, parts[1].Since)
	must.False(t, ok)
}

// Two instances take turns in asking the store. What the second asked before the
// first one's turn and after it doesn't join up; told as one run, a receiver
// that missed the first one's notice would go on using a server that has left.
func TestRunsWithAHoleBetweenArentJoined(t *testing.T) {
	var r replica.RecentChanges
	r.Add(80, 90, []replica.Row{versioned("a", "1", 85)})
	r.Add(110, 120, []replica.Row{versioned("b", "1", 115)})
	parts := r.Batches(120, 1000)
	must.Len(t, 1, parts)
	must.Eq(t, 110, parts[0].Since)
	must.Len(t, 1, parts[0].Rows)
}

// The store comes back from a copy with lower versions. Its answers were taken for
// old ones, and no change reached the copy any more.
func TestLaterEraIsNewerWhateverItsVersions(t *testing.T) {
	c := replica.NewTable()
	c.Apply(whole(56, put("a", "1")), 0)
	later := changes(60, put("a", "2"))
	later.Era = 1
	_, ok := c.Apply(later, 56)
	must.False(t, ok)
	restored := whole(40, put("a", "0"))
	restored.Era = 1
	changed, ok := c.Apply(restored, 0)
	must.True(t, ok)
	must.Eq(t, []replica.Row{put("a", "0")}, changed)
	changed, ok = c.Apply(whole(57, put("a", "1")), 0)
	must.True(t, ok)
	must.Len(t, 0, changed)
	at, _ := c.Position()
	must.Eq(t, replica.Position{Era: 1, Version: 40}, at)
}
