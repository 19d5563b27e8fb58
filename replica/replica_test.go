package replica_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/replica"
)

func put(key, value string) replica.Row { return replica.Row{Key: key, Value: []byte(value)} }

func gone(key string) replica.Row { return replica.Row{Key: key, Gone: true} }

func whole(version uint64, rows ...replica.Row) replica.Answer {
	return replica.Answer{Rows: rows, Version: version, Whole: true}
}

func changes(version uint64, rows ...replica.Row) replica.Answer {
	return replica.Answer{Rows: rows, Version: version}
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
	for _, a := range []replica.Answer{whole(8, put("a", "old")), changes(8, put("a", "old"))} {
		changed, ok := c.Apply(a, 7)
		must.True(t, ok)
		must.Len(t, 0, changed)
	}
	must.Eq(t, []replica.Row{put("a", "new")}, c.Rows())
}

func TestRecentTellsSeveralAnswersTogether(t *testing.T) {
	var r replica.Recent
	r.Add(1, []replica.Row{put("a", "1")})
	r.Add(2, []replica.Row{put("b", "1")})
	r.Add(3, []replica.Row{put("a", "2")})
	rows, since := r.Rows()
	must.Eq(t, 1, since)
	must.Eq(t, []replica.Row{put("a", "2"), put("b", "1")}, rows)
	r.Add(4, nil)
	r.Add(5, nil)
	rows, since = r.Rows()
	must.Eq(t, 2, since)
	must.Eq(t, []replica.Row{put("b", "1"), put("a", "2")}, rows)
	r.Reset()
	rows, _ = r.Rows()
	must.Len(t, 0, rows)
}
