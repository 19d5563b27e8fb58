package membership

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

const ms = time.Millisecond

func row(key string, rev storage.Revision, value any) storage.Row {
	v, _ := json.Marshal(value)
	return storage.Row{Key: key, Value: v, Revision: rev}
}

func full(rev storage.Revision, rows ...storage.Row) storage.Changes {
	return storage.Changes{Revision: rev, Full: true, Rows: rows}
}

func members(ids ...string) config.Witnesses { return config.Witnesses{Members: ids} }

// newMember returns the Member "a" of a list of five instances with the
// witnesses w, and its replica. Its settings keep rank and timers from affecting
// these tests.
func newMember(w config.Witnesses) (*Member, *config.Replica) {
	log := config.NewReplica()
	m := New(Settings{Self: "a", DataCentre: "dc", SeatStagger: time.Hour, WitnessCount: 1}, log, rand.New(rand.NewPCG(1, 1)))
	m.apply(0, full(10, row(config.WitnessesKey, 10, w)))
	var list []storage.Instance
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, entryInstance(id, "dc"))
	}
	m.applyList(0, storage.InstanceChanges{Version: 1, Full: true, Changed: list})
	return m, log
}

// callsTo returns the ids of the Pull calls, or else of the Witness calls, by
// receiver.
func callsTo(effects []effect.Effect, pulls bool) map[string]uint64 {
	ids := map[string]uint64{}
	for _, e := range effects {
		if c, ok := e.(effect.Call); ok && (c.Request.(Request).Pull != nil) == pulls {
			ids[c.To] = c.ID
		}
	}
	return ids
}

func witnessed(rev storage.Revision, seated bool) Reply {
	return Reply{Witness: &Witnessed{Revision: rev, Seated: seated}}
}

// Guards against a revoked row surviving at a puller. The row was deleted
// between revision 5, which the puller has, and the relay's full read at 10, so
// the relay has no record of the deletion and a delta would leave the row in
// place.
func TestPullAcrossFullReadRemovesDeletedRows(t *testing.T) {
	relay, _ := newMember(members("b"))
	m, log := newMember(members("b"))
	*log = *config.NewReplica()
	log.Apply(full(5, row("plan/p", 5, config.Plan{})))
	reply := relay.Handle(0, "a", Request{Pull: &Pull{Since: 5}})
	m.handlePulled(0, call{}, *reply.Pull)
	must.Eq(t, storage.Revision(10), log.Revision())
	_, found := log.Row("plan/p")
	must.False(t, found)
}

// Checks that the age of a proof is measured from the start of its exchange
// and that the age of a relayed proof is added to it.
func TestProofAge(t *testing.T) {
	read := func(m *Member, sent, answered time.Duration, rev storage.Revision) {
		m.table.id, m.table.sent = 99, sent
		m.ReadDone(answered, 99, storage.Changes{Revision: rev}, true)
	}
	pull := func(m *Member, sent, answered time.Duration, p Pulled) {
		m.calls[99] = call{to: "b", sent: sent}
		m.CallDone(answered, 99, Reply{Pull: &p}, true)
	}
	same := storage.Changes{Revision: 10}
	for _, c := range []struct {
		name string
		do   func(*Member)
		want Confirmation // at one second
	}{
		{"read", func(m *Member) { read(m, 100*ms, 300*ms, 10) }, Confirmation{State: ConfirmedByTable, Age: 900 * ms}},
		{"newer read", func(m *Member) { read(m, 100*ms, 300*ms, 11) }, Confirmation{State: ConfirmedByTable, Age: 900 * ms, Revision: 11}},
		{"read of a table that was rolled back", func(m *Member) { read(m, 100*ms, 300*ms, 9) }, Confirmation{}},
		{"late read", func(m *Member) {
			m.ReadDone(300*ms, 98, storage.Changes{Revision: 11}, true)
		}, Confirmation{Revision: 11}},
		{"relayed", func(m *Member) {
			pull(m, 100*ms, 300*ms, Pulled{Changes: same, TableAge: 500 * ms})
		}, Confirmation{State: ConfirmedByTable, Age: 1400 * ms}},
		{"relayed by an older replica", func(m *Member) {
			pull(m, 100*ms, 300*ms, Pulled{Changes: storage.Changes{Revision: 9}, WitnessAge: 500 * ms})
		}, Confirmation{State: ConfirmedByWitnesses, Age: 1400 * ms}},
		{"relayed too old", func(m *Member) {
			pull(m, 100*ms, 300*ms, Pulled{Changes: same, TableAge: 1200 * ms})
		}, Confirmation{}},
		{"relay without a proof", func(m *Member) {
			pull(m, 100*ms, 300*ms, Pulled{Changes: storage.Changes{Revision: 11}})
		}, Confirmation{Revision: 11}},
		{"younger by witnesses", func(m *Member) {
			read(m, 100*ms, 300*ms, 10)
			pull(m, 600*ms, 700*ms, Pulled{Changes: same, WitnessAge: 100 * ms})
		}, Confirmation{State: ConfirmedByTable, Age: 500 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, _ := newMember(members("b"))
			c.do(m)
			want := c.want
			want.Revision = max(want.Revision, 10)
			must.Eq(t, want, m.Confirmation(time.Second))
			must.Eq(t, CutOff, m.Confirmation(3*time.Second).State)
		})
	}
}

// Checks which sets of answers make a round a proof.
func TestRoundProof(t *testing.T) {
	three := members("b", "c", "d")
	changing := config.Witnesses{Members: []string{"b", "c", "e"}, Previous: []string{"b", "c", "d"}}
	type answer struct {
		from string
		Witnessed
	}
	for i, c := range []struct {
		list    config.Witnesses
		answers []answer
		proved  bool
	}{
		{three, []answer{{"b", Witnessed{10, true}}}, false},
		{three, []answer{{"b", Witnessed{10, true}}, {"c", Witnessed{9, true}}}, true},
		// c does not know that it is a witness.
		{three, []answer{{"b", Witnessed{10, true}}, {"c", Witnessed{9, false}}}, false},
		{three, []answer{{"b", Witnessed{11, true}}, {"c", Witnessed{10, true}}, {"d", Witnessed{10, true}}}, false},
		// The instance's own answer counts.
		{members("a", "b", "c"), []answer{{"b", Witnessed{10, true}}}, true},
		{changing, []answer{{"b", Witnessed{10, true}}, {"e", Witnessed{10, true}}}, false},
		{changing, []answer{{"b", Witnessed{10, true}}, {"d", Witnessed{10, true}}, {"e", Witnessed{10, true}}}, true},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			m, _ := newMember(c.list)
			ids := callsTo(m.startRound(100*ms), false)
			for _, a := range c.answers {
				m.CallDone(200*ms, ids[a.from], witnessed(a.Revision, a.Seated), true)
			}
			want := Confirmation{Revision: 10}
			if c.proved {
				want.State, want.Age = ConfirmedByWitnesses, 900*ms
			}
			must.Eq(t, want, m.Confirmation(time.Second))
		})
	}
}

// Checks that a round in which a witness knows a newer revision waits until
// that revision was pulled from the witness, and then proves it.
func TestRoundFetchesNewerRevision(t *testing.T) {
	m, log := newMember(members("b", "c", "d"))
	ids := callsTo(m.startRound(100*ms), false)
	m.CallDone(110*ms, ids["c"], witnessed(10, true), true)
	fetched := callsTo(m.CallDone(120*ms, ids["b"], witnessed(11, true), true), true)
	must.Eq(t, CutOff, m.Confirmation(130*ms).State)
	m.CallDone(130*ms, fetched["b"], Reply{Pull: &Pulled{Changes: storage.Changes{Revision: 11}}}, true)
	must.Eq(t, storage.Revision(11), log.Revision())
	must.Eq(t, Confirmation{State: ConfirmedByWitnesses, Age: 900 * ms, Revision: 11}, m.Confirmation(time.Second))
}

// Checks that a revision is in force when Settings.InForceDelay has passed since a
// majority was found to know it. An ended witness counts as knowing it, one that
// does not answer does not count. One revision in force says nothing about a
// later one.
func TestInForce(t *testing.T) {
	m, _ := newMember(members("b", "c", "d"))
	wait := m.set.InForceDelay()
	ids := callsTo(m.Require(100*ms, 10), false)
	must.SliceContainsAll(t, []string{"b", "c", "d"}, m.PendingWitnesses(10))
	m.CallDone(110*ms, ids["b"], witnessed(10, true), true)
	must.False(t, m.InForce(time.Hour, 10))

	m.applyList(200*ms, storage.InstanceChanges{Version: 2, Changed: []storage.Instance{
		{ID: "c", Kind: storage.Entry, State: storage.Ended},
	}})
	must.SliceEmpty(t, m.PendingWitnesses(10))
	must.False(t, m.InForce(200*ms+wait-1, 10))
	must.True(t, m.InForce(200*ms+wait, 10))

	m.apply(5*time.Second, storage.Changes{Revision: 12})
	m.Require(5*time.Second, 12)
	must.False(t, m.InForce(time.Hour, 12))
	must.True(t, m.InForce(time.Hour, 10))
}

// Checks that Require of a revision that the replica lacks, such as the outcome
// of the instance's own write, asks the witnesses only after the replica has it,
// because the list of witnesses that must know it comes with it.
func TestRequireReadsTableBeforeAskingWitnesses(t *testing.T) {
	m, _ := newMember(members("b", "c", "d"))
	m.recordProof(&m.byTable, 100*ms)
	effects := m.Require(100*ms, 11)
	must.MapNotContainsKey(t, callsTo(effects, false), "b")
	var read effect.ReadTable
	for _, e := range effects {
		if r, ok := e.(effect.ReadTable); ok {
			read = r
		}
	}
	must.Eq(t, storage.Revision(10), read.Read.Since)
	effects = m.ReadDone(400*ms, read.ID, storage.Changes{Revision: 11}, true)
	must.MapContainsKeys(t, callsTo(effects, false), []string{"b", "c", "d"})
}
