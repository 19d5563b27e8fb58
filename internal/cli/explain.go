package cli

import (
	"time"

	"foxtailspoke/decision"
	"foxtailspoke/operator"
)

const explainHelp = `Explains in plain sentences why a request, or the requests of a workspace, were
served, delayed or refused, with the rule and the figures behind the decision.
The records come from the memory of the entry instances and the object store.

Refused, repeated and slow requests are recorded; the others are sampled.

Examples:
$ foxtailspoke explain 0f8fad5b.mqn0q5fy.2s
$ foxtailspoke explain --workspace cebu-boatyard --since 1h
$ foxtailspoke explain --workspace cebu-boatyard --since 2d --limit 500 --output json`

type explainCommand struct {
	app       *app
	Workspace string       `long:"workspace" value-name:"NAME" description:"Explain the requests of this workspace"`
	Since     durationFlag `long:"since" default:"1h" description:"Maximum age of the requests, such as 90m or 7d"`
	Limit     int          `long:"limit" default:"50" description:"Maximum number of requests, newest first; 0 means all"`
	Args      struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"The request's id, from the body of the refusal"`
	} `positional-args:"yes"`
}

type explainResult struct {
	Decisions         []explainedDecision `json:"decisions"`
	Complete          bool                `json:"complete"`
	Queried           int                 `json:"instancesAsked"`
	Unresponsive      int                 `json:"instancesSilent"`
	Batches           int                 `json:"batchesRead"`
	UnreadableBatches int                 `json:"batchesUnread"`
	SkippedBatches    int                 `json:"batchesSkipped"`
	DroppedRecords    uint64              `json:"recordsDropped"`
	StoreError        string              `json:"storeError,omitempty"`
}

type explainedDecision struct {
	Sentence string `json:"sentence"`
	decision.Record
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	conn, err := c.app.connect()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	q := decision.Query{Request: c.Args.Request, Workspace: c.Workspace, Limit: c.Limit}
	if q.Request == "" {
		q.Since = c.Since.ago()
	}
	e, err := conn.operator.Explain(ctx, conn.fleet, conn.platform.Objects(), q)
	if err != nil {
		return err
	}
	if !c.app.json() {
		c.printText(e)
	}
	return c.app.finishJSON(newExplainResult(e), c.notFoundError(e))
}

func (c *explainCommand) notFoundError(e operator.Explanation) error {
	if len(e.Records) > 0 || c.Args.Request == "" {
		return nil
	}
	return newExitError(exitNotFound, "Nothing is recorded for the request %s. Fast, successful requests are only sampled.", c.Args.Request)
}

func newExplainResult(e operator.Explanation) explainResult {
	r := explainResult{
		Decisions: []explainedDecision{}, Complete: e.Complete(), Queried: e.Queried, Unresponsive: e.Unresponsive, Batches: e.Batches,
		UnreadableBatches: e.UnreadableBatches, SkippedBatches: e.Skipped, DroppedRecords: e.Dropped, StoreError: e.StoreError,
	}
	for _, record := range e.Records {
		r.Decisions = append(r.Decisions, explainedDecision{Sentence: record.Sentence(), Record: record})
	}
	return r
}

func (c *explainCommand) printText(e operator.Explanation) {
	for _, r := range e.Records {
		c.app.printf("%s  [%s] %s\n  %s\n", r.At.UTC().Format(time.RFC3339), r.Rule, r.Request, r.Sentence())
	}
	if len(e.Records) == 0 && c.Args.Request == "" {
		c.app.printf("No refusal, repeat or slow request is recorded for workspace %s in this period.\n", c.Workspace)
	}
	if e.Complete() {
		return
	}
	c.app.notef("The result may be incomplete:")
	for _, gap := range []struct {
		count       int
		description string
	}{
		{e.Unresponsive, "instances didn't answer"},
		{e.UnreadableBatches, "batches couldn't be read"},
		{e.Skipped, "older batches were skipped"},
		{int(e.Dropped), "records were lost before they were stored"},
	} {
		if gap.count > 0 {
			c.app.notef(" %d %s;", gap.count, gap.description)
		}
	}
	if e.StoreError != "" {
		c.app.notef(" the object store: %s;", e.StoreError)
	}
	c.app.notef("\n")
}
