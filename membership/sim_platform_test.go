package membership

import (
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

func (s *sim) cannotReachTable(n *simNode) bool { return s.platformDown || s.tableUnreachable[n.slot] }

func (s *sim) readTable(n *simNode, r effect.ReadTable) {
	s.reads++
	fail := func() {
		s.deliver(n, func(now time.Duration) []effect.Effect {
			return n.m.ReadDone(now, r.ID, storage.Changes{}, false)
		})
	}
	if s.cannotReachTable(n) && !s.serveStaleTable {
		s.after(time.Duration(s.rng.IntN(900))*time.Millisecond, fail)
		return
	}
	s.after(s.latency(), func() {
		from := s.table
		if s.cannotReachTable(n) && s.staleTable != nil {
			from = s.staleTable
		}
		c := from.Since(r.Read.Since)
		if s.answersLost[n.slot] {
			s.after(900*time.Millisecond, fail)
			return
		}
		s.after(s.latency()+s.tableDelay, func() {
			s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.ReadDone(now, r.ID, c, true) })
		})
	})
}

func (s *sim) readList(n *simNode, r effect.ReadInstances) {
	s.reads++
	s.after(2*s.latency(), func() {
		ok := !s.cannotReachTable(n) && !s.answersLost[n.slot]
		c := s.list.changesSince(r.Since)
		s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.InstancesDone(now, r.ID, c, ok) })
	})
}

// write commits a transaction if its conditions hold. The transaction may be
// delayed, and its answer may be lost.
func (s *sim) write(n *simNode, t storage.Txn, done func(time.Duration, storage.WriteResult) []effect.Effect) {
	answer := func(d time.Duration, r storage.WriteResult) {
		s.after(d, func() {
			s.deliver(n, func(now time.Duration) []effect.Effect { return done(now, r) })
		})
	}
	if s.cannotReachTable(n) {
		answer(900*time.Millisecond, storage.WriteResult{})
		return
	}
	delay := s.latency()
	if s.rng.IntN(10) == 0 {
		delay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
	}
	s.after(delay, func() {
		r := s.commit(t)
		if s.answersLost[n.slot] || s.rng.IntN(5) == 0 {
			answer(900*time.Millisecond, storage.WriteResult{})
			return
		}
		answer(s.latency(), r)
	})
}

func (s *sim) commit(t storage.Txn) storage.WriteResult {
	for _, c := range t.Conditions {
		if row, _ := s.table.Row(c.Key); row.Revision != c.Revision {
			return storage.WriteResult{Outcome: storage.Conflict}
		}
	}
	next := s.table.Revision() + 1
	c := storage.Changes{Revision: next}
	for _, p := range t.Puts {
		c.Rows = append(c.Rows, storage.Row{Key: p.Key, Value: p.Value, Revision: next, Attempt: t.Attempt})
	}
	s.table.Apply(c)
	return storage.WriteResult{
		Outcome:   storage.Committed,
		Revisions: map[storage.TableName]storage.Revision{storage.Control: next},
	}
}

// saveStaleTable keeps a copy of the current table for stale reads.
func (s *sim) saveStaleTable() {
	s.staleTable = config.NewReplica()
	s.staleTable.Apply(s.table.Since(0))
}
