package claim

import (
	"time"

	"foxtailspoke/storage"
)

// Finish reports the outcome of an operation after Run. The row is deleted only if
// the operation provably did not run.
func (c *Claimer) Finish(id ID, o Outcome, a *Answer) Step {
	cl := c.open[id]
	if cl == nil || cl.phase != running {
		return Step{}
	}
	cl.phase = finishing
	cl.completion = completion{digest: cl.digest, outcome: o, answer: c.limitAnswer(a)}
	if o == NotRun {
		c.notRun.put(cl.insertTxn.Attempt, struct{}{})
	}
	cl.finishTxn = c.newTxn(cl.key, cl.revision, cl.completionPut(c.self))
	return c.sendFinish(cl, 0)
}

// limitAnswer returns nil for a response that is too long for the row.
func (c *Claimer) limitAnswer(a *Answer) *Answer {
	if a.size() > c.settings.MaxAnswerBytes {
		return nil
	}
	return a
}

// completionPut returns the write that records the outcome, or deletes the row
// after NotRun.
func (cl *claim) completionPut(self string) storage.Put {
	r := Record{Digest: cl.digest.String(), Owner: self, State: StateUnknown}
	switch cl.completion.outcome {
	case NotRun:
		return storage.Put{Delete: true}
	case Ran:
		r.State = StateRan
		r.Answer = cl.completion.answer
	}
	return storage.Put{Value: r.encode()}
}

func (c *Claimer) sendFinish(cl *claim, delay time.Duration) Step {
	cl.finishSends++
	return Step{Write: &cl.finishTxn, Delay: delay}
}

// finishWritten retries a write without response. The write is conditional on the
// row's revision, so it cannot take effect twice or on another claim's row.
func (c *Claimer) finishWritten(cl *claim, r storage.WriteResult) Step {
	if r.Outcome != storage.Unknown {
		c.remove(cl)
		return Step{}
	}
	if cl.finishSends < maxFinishSends {
		return c.sendFinish(cl, c.settings.FinishRetry<<(cl.finishSends-1))
	}
	// The row may still say "started"; this instance keeps the outcome in memory.
	if cl.completion.outcome == NotRun {
		c.abandoned.put(cl.key, struct{}{})
	} else {
		c.unrecorded.put(cl.key, cl.completion)
	}
	c.remove(cl)
	return Step{}
}
