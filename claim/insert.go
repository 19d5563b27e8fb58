package claim

import (
	"strconv"

	"foxtailspoke/storage"
)

// sendInsert claims the row, provided that it has the revision: 0 if absent.
func (c *Claimer) sendInsert(cl *claim, revision storage.Revision) Step {
	r := Record{Digest: cl.digest.String(), Owner: c.self, State: StateStarted}
	cl.insert = c.newTxn(cl.key, revision, storage.Put{Value: r.encode()})
	return c.repeatInsert(cl)
}

// repeatInsert sends the insertion, the second time with the same attempt
// id: whichever of the two took effect is recognised as this claim's own.
func (c *Claimer) repeatInsert(cl *claim) Step {
	cl.phase = inserting
	cl.insertSends++
	return Step{Write: &cl.insert}
}

func (c *Claimer) newTxn(key string, revision storage.Revision, p storage.Put) storage.Txn {
	p.Table = storage.Claims
	p.Key = key
	return storage.Txn{
		Attempt:    c.attemptID(),
		Conditions: []storage.Condition{{Table: storage.Claims, Key: key, Revision: revision}},
		Puts:       []storage.Put{p},
	}
}

// attemptID returns a new id. Incarnation ids are unique, so is this.
func (c *Claimer) attemptID() string {
	c.attemptCount++
	return c.self + "/claim/" + strconv.FormatUint(c.attemptCount, 10)
}

// HandleWriteResult takes the result of a Step's Write.
func (c *Claimer) HandleWriteResult(id ID, r storage.WriteResult) Step {
	cl := c.open[id]
	switch {
	case cl == nil:
		return Step{}
	case cl.phase == finishing:
		return c.finishWritten(cl, r)
	case cl.phase != inserting:
		return Step{}
	}
	switch r.Outcome {
	case storage.Committed:
		return c.acquired(cl, r.Revisions[storage.Claims])
	case storage.Conflict:
		return c.resolveRow(cl, r.Current)
	default:
		// The row may be ours or not. Running now could be the second run.
		cl.phase = resolving
		return c.readRow(cl)
	}
}

func (c *Claimer) readRow(cl *claim) Step {
	return Step{Read: &storage.ReadRequest{Table: storage.Claims, Prefix: cl.key}}
}

// HandleReadResult takes the result of a Step's Read.
func (c *Claimer) HandleReadResult(id ID, ch storage.Changes) Step {
	cl := c.open[id]
	if cl == nil || cl.phase != resolving {
		return Step{}
	}
	return c.resolveRow(cl, ch.Rows)
}

// HandleReadFailure says that a Step's Read failed. The request isn't run. Its
// insertion may still take effect; the attempt is remembered so that a
// repeat at this instance can take the row over.
func (c *Claimer) HandleReadFailure(id ID) Step {
	cl := c.open[id]
	if cl == nil || cl.phase != resolving {
		return Step{}
	}
	return c.abandon(cl)
}

func (c *Claimer) abandon(cl *claim) Step {
	c.notRun.put(cl.insert.Attempt, struct{}{})
	c.abandoned.put(cl.key, struct{}{})
	return c.endWithoutRun(cl, Decision{Verdict: Refused, Reason: StoreUnavailable})
}

// resolveRow goes on with what is in the row.
func (c *Claimer) resolveRow(cl *claim, rows []storage.Row) Step {
	row, ok := findRow(rows, cl.key)
	if !ok {
		// Absent, but an insertion without answer may still arrive.
		if cl.insertSends >= maxInsertSends || cl.cancelled {
			return c.abandon(cl)
		}
		return c.repeatInsert(cl)
	}
	if row.Attempt == cl.insert.Attempt {
		return c.acquired(cl, row.Revision)
	}
	if _, reusable := c.notRun.get(row.Attempt); reusable {
		return c.takeOver(cl, row)
	}
	// This claim's own insertion lost, or can't take effect any more.
	c.notRun.put(cl.insert.Attempt, struct{}{})
	d := decideFromRow(row, cl.digest)
	if d.Verdict == InProgress && d.Owner == c.self {
		// A claim of this instance that it has forgotten.
		d = Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
	return c.endWithoutRun(cl, d)
}

// takeOver replaces the row of an attempt of this instance that never ran.
func (c *Claimer) takeOver(cl *claim, row storage.Row) Step {
	r, err := decodeRecord(row)
	switch {
	case err != nil || r.Digest != cl.digest.String():
		c.notRun.put(cl.insert.Attempt, struct{}{})
		return c.endWithoutRun(cl, decideFromRow(row, cl.digest))
	case cl.insertSends >= maxInsertSends || cl.cancelled:
		return c.abandon(cl)
	default:
		c.notRun.put(cl.insert.Attempt, struct{}{})
		return c.sendInsert(cl, row.Revision)
	}
}

func findRow(rows []storage.Row, key string) (storage.Row, bool) {
	for _, row := range rows {
		if row.Key == key && !row.Deleted {
			return row, true
		}
	}
	return storage.Row{}, false
}

// acquired has the row. A cancelled claim gives it back unused.
func (c *Claimer) acquired(cl *claim, revision storage.Revision) Step {
	cl.revision = revision
	cl.phase = running
	if cl.cancelled {
		return c.Finish(cl.id, NotRun, nil)
	}
	return decisionStep(Decision{Verdict: Run})
}

// endWithoutRun ends a claim that wasn't run.
func (c *Claimer) endWithoutRun(cl *claim, d Decision) Step {
	c.remove(cl)
	if cl.cancelled {
		return Step{}
	}
	return decisionStep(d)
}

func (c *Claimer) remove(cl *claim) {
	delete(c.open, cl.id)
	delete(c.byKey, cl.key)
}
