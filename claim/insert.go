package claim

import (
	"strconv"

	"foxtailspoke/storage"
)

// sendInsert returns a write that claims the row on condition that it has the
// given revision, 0 for an absent row.
func (c *Claimer) sendInsert(cl *claim, revision storage.Revision) Step {
	r := Record{Digest: cl.digest.String(), Owner: c.self, State: StateStarted}
	cl.insertTxn = c.newTxn(cl.key, revision, storage.Put{Value: r.encode()})
	return c.repeatInsert(cl)
}

// repeatInsert sends the current insertion. A resend keeps the attempt id, so
// that whichever of the two takes effect is recognised as this claim's own.
func (c *Claimer) repeatInsert(cl *claim) Step {
	cl.phase = inserting
	cl.insertSends++
	return Step{Write: &cl.insertTxn}
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

// attemptID returns a new attempt id. It is globally unique, because incarnation
// ids are.
func (c *Claimer) attemptID() string {
	c.attemptCount++
	return c.self + "/claim/" + strconv.FormatUint(c.attemptCount, 10)
}

// HandleWriteResult processes the result of a Step's Write.
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
		// The insertion may or may not have taken effect, and another claim may
		// hold the row. Running now could be a second run.
		cl.phase = resolving
		return c.readRow(cl)
	}
}

func (c *Claimer) readRow(cl *claim) Step {
	return Step{Read: &storage.ReadRequest{Table: storage.Claims, Prefix: cl.key}}
}

// HandleReadResult processes the result of a Step's Read.
func (c *Claimer) HandleReadResult(id ID, ch storage.Changes) Step {
	cl := c.open[id]
	if cl == nil || cl.phase != resolving {
		return Step{}
	}
	return c.resolveRow(cl, ch.Rows)
}

// HandleReadFailure processes the failure of a Step's Read. The request is not
// run. Its insertion may still take effect, so the attempt is remembered and a
// repeat at this instance can take the row over.
func (c *Claimer) HandleReadFailure(id ID) Step {
	cl := c.open[id]
	if cl == nil || cl.phase != resolving {
		return Step{}
	}
	return c.abandon(cl)
}

// abandon refuses the request. Its insertion may have taken effect or do so later;
// ReleaseAbandoned then deletes the row.
func (c *Claimer) abandon(cl *claim) Step {
	c.notRun.put(cl.insertTxn.Attempt, struct{}{})
	c.abandoned.put(cl.key, struct{}{})
	return c.endWithoutRun(cl, Decision{Verdict: Refused, Reason: StoreUnavailable})
}

// resolveRow continues a claim according to the row's current content.
func (c *Claimer) resolveRow(cl *claim, rows []storage.Row) Step {
	row, ok := findRow(rows, cl.key)
	if !ok {
		// The row is absent, but an insertion without response may still take
		// effect.
		if cl.insertSends >= maxInsertSends || cl.cancelled {
			return c.abandon(cl)
		}
		return c.repeatInsert(cl)
	}
	if row.Attempt == cl.insertTxn.Attempt {
		return c.acquired(cl, row.Revision)
	}
	if _, reusable := c.notRun.get(row.Attempt); reusable {
		return c.takeOver(cl, row)
	}
	// The row was claimed by another attempt. This claim's own insertion was
	// rejected or cannot take effect any more.
	c.notRun.put(cl.insertTxn.Attempt, struct{}{})
	d := decideFromRow(row, cl.digest)
	if d.Verdict == InProgress && d.Owner == c.self {
		// The row belongs to an earlier claim of this instance whose outcome
		// has been evicted.
		d = Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
	return c.endWithoutRun(cl, d)
}

// takeOver claims a row that an attempt of this instance holds without having run
// the operation.
func (c *Claimer) takeOver(cl *claim, row storage.Row) Step {
	r, err := decodeRecord(row)
	switch {
	case err != nil || r.Digest != cl.digest.String():
		c.notRun.put(cl.insertTxn.Attempt, struct{}{})
		return c.endWithoutRun(cl, decideFromRow(row, cl.digest))
	case cl.insertSends >= maxInsertSends || cl.cancelled:
		return c.abandon(cl)
	default:
		c.notRun.put(cl.insertTxn.Attempt, struct{}{})
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

// acquired handles a claim that holds its row. A cancelled claim releases it
// unused.
func (c *Claimer) acquired(cl *claim, revision storage.Revision) Step {
	cl.revision = revision
	cl.phase = running
	if cl.cancelled {
		return c.Finish(cl.id, NotRun, nil)
	}
	return decisionStep(Decision{Verdict: Run})
}

// endWithoutRun ends a claim whose request is not run.
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
