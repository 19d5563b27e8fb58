package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A machine is gone for good and another has taken its place. As long as the
// row of the first stands, every workspace lacks its part of the rate.
func TestInstancesThatAreGoneForGoodLeaveTheList(t *testing.T) {
	e := &Edge{self: 1}
	e.state.members = map[uint32]*member{
		2: {id: 2, listed: true, heard: time.Second},
		3: {id: 3, listed: true, heard: time.Second, alive: true},
		4: {id: 4, heard: time.Second},
	}
	must.Len(t, 0, e.goneRows(time.Minute))
	rows := e.goneRows(time.Second + goneAfter + 1)
	must.Len(t, 1, rows)
	must.Eq(t, "0.0.0.2", rows[0].Key)
	must.True(t, rows[0].Gone)
}

// The same message arrives directly and from a delegate, in any order. Each
// result must count once: a failure counted twice is a conviction.
func TestEachMessageCountsOnce(t *testing.T) {
	var m member
	must.True(t, m.fresh(7, 10))
	must.False(t, m.fresh(7, 10))
	must.True(t, m.fresh(7, 12))
	must.True(t, m.fresh(7, 11))
	must.False(t, m.fresh(7, 11))
	must.False(t, m.fresh(7, 12))
	must.True(t, m.fresh(7, 200))
	must.False(t, m.fresh(7, 100))
	must.True(t, m.fresh(8, 1))
	must.False(t, m.fresh(8, 1))
}
