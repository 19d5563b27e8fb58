package cli

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config/lists"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
)

const applyHelp = `Validates both lists, shows how they differ from those in force, asks for
confirmation, and applies them unless another operator has changed the lists in
the meantime. Then it waits until no instance uses the old lists any more.

Removing a workspace revokes its keys. A change of more than 900 rows is
committed as several consecutive versions.

Examples:
$ foxtailspoke apply --dry-run customers.json plans.json
$ foxtailspoke apply customers.json plans.json
$ foxtailspoke apply --yes --made-from 7 --as maria customers.json plans.json

With --made-from, lists based on another version than the one in force are
refused (exit code 4). Use it when the files were edited after "foxtailspoke
get", to avoid reverting another operator's change unnoticed.

After exit code 5 (response lost), "foxtailspoke audit --attempt ID" shows
whether the change took effect, and applying again is safe.`

type applyCommand struct {
	app *app
	listFiles
	Yes         bool          `long:"yes" description:"Apply without confirmation"`
	DryRun      bool          `long:"dry-run" description:"Show the differences without applying them"`
	BaseVersion *uint64       `long:"made-from" value-name:"VERSION" description:"Fail unless this version of the lists is in force"`
	Wait        time.Duration `long:"wait" default:"30s" description:"How long to wait until the change is in force everywhere; 0 disables waiting"`
}

type applyResult struct {
	Changes     []lists.Change     `json:"changes"`
	RevokedKeys []operator.KeyInfo `json:"withdrawnKeys,omitempty"`
	DryRun      bool               `json:"dryRun,omitempty"`
	BaseVersion uint64             `json:"from"`
	*operator.Applied
	InForce *operator.InForce `json:"inForce,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	conn, err := c.app.connectForChange()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	p, err := c.propose(conn)
	if err != nil {
		return err
	}
	r := applyResult{Changes: p.Changes, RevokedKeys: p.RevokedKeys, DryRun: c.DryRun, BaseVersion: p.Base.Version}
	c.printChanges(p)
	if c.DryRun {
		return c.app.finishJSON(r, nil)
	}
	if !p.Empty() && !c.Yes && !c.app.confirm("Apply?") {
		return newExitError(exitDeclined, "Nothing was applied.")
	}
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	applied, err := conn.operator.Commit(ctx, p)
	if err != nil {
		return err
	}
	r.Applied = &applied
	r.InForce, err = c.awaitResult(conn, p, applied)
	return c.app.finishJSON(r, err)
}

func (c *applyCommand) propose(conn connection) (operator.Proposal, error) {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	counts, err := c.serverCounts(ctx, conn)
	if err != nil {
		return operator.Proposal{}, err
	}
	l, err := c.read(counts)
	if err != nil {
		return operator.Proposal{}, err
	}
	p, err := conn.operator.Propose(ctx, l)
	if err == nil && c.BaseVersion != nil && *c.BaseVersion != p.Base.Version {
		return p, newExitError(exitConflict, "Nothing was applied: the lists in force are version %d, and yours are based on version %d.", p.Base.Version, *c.BaseVersion)
	}
	return p, err
}

// serverCounts returns the numbers of backend servers that floors are validated
// against. A service with fewer live servers than its floor in force counts as
// having that floor: otherwise an outage would block all changes.
func (c *applyCommand) serverCounts(ctx context.Context, conn connection) (lists.ServerCounts, error) {
	counts, err := countServers(ctx, conn.platform)
	if err != nil {
		return nil, err
	}
	current, err := conn.operator.Current(ctx)
	if err != nil {
		return nil, err
	}
	for name, s := range current.Lists.Services {
		if live := counts[name]; live < s.Floor {
			c.app.notef("Service %s has %d live backend servers, fewer than its floor %d in force.\n", name, live, s.Floor)
			counts[name] = s.Floor
		}
	}
	return counts, nil
}

// printChanges prints the differences unless the output is JSON.
func (c *applyCommand) printChanges(p operator.Proposal) {
	if c.app.json() {
		return
	}
	if p.Empty() {
		c.app.printf("Nothing to do: version %d has the same contents.\n", p.Base.Version)
		return
	}
	c.app.printf("Changes to version %d:\n", p.Base.Version)
	for _, change := range p.Changes {
		c.app.printf("  %s\n", change)
	}
	for _, k := range p.RevokedKeys {
		c.app.printf("  - key %s of workspace %s is revoked with the workspace\n", k.ID, k.Workspace)
	}
}

// awaitResult reports the outcome of the commit. If the change was accepted, it
// waits until the change is in force.
func (c *applyCommand) awaitResult(conn connection, p operator.Proposal, a operator.Applied) (*operator.InForce, error) {
	switch a.Outcome {
	case operator.NothingToDo:
		return nil, nil
	case operator.Conflict:
		return nil, c.conflictError(p, a)
	case operator.Unresolved:
		return nil, newExitError(exitUnresolved, "The platform's response was lost. It isn't known whether version %d took effect; it may still do so.\nTo find out, run: foxtailspoke audit --attempt %s. %s", a.Version, a.Attempt, stagesNote(a))
	case operator.Stopped:
		return nil, newExitError(exitUnavailable, "The platform stopped responding. %s", stagesNote(a))
	case operator.Accepted:
	}
	if !c.app.json() {
		c.app.printf("Version %d is accepted (attempt %s).\n", a.Version, a.Attempt)
	}
	return c.app.waitInForce(conn, a.Revision, c.Wait)
}

func (c *applyCommand) conflictError(p operator.Proposal, a operator.Applied) error {
	var b strings.Builder
	for _, w := range a.ConflictingChanges {
		b.WriteString("\n  " + auditLine(w))
		for _, change := range w.Changes {
			b.WriteString("\n      " + change)
		}
	}
	if a.Stages.Accepted > 0 {
		return newExitError(exitConflict, "Another change was committed before yours was complete:%s\n%s", b.String(), stagesNote(a))
	}
	return newExitError(exitConflict, "Nothing was applied: another change was committed after you read version %d:%s\nReview it with \"foxtailspoke get\", and apply again.", p.Base.Version, b.String())
}

// stagesNote describes which part of a change that takes several versions was
// accepted.
func stagesNote(a operator.Applied) string {
	if a.Stages.Accepted == 0 {
		return ""
	}
	return fmt.Sprintf("The change is so large that it takes %d versions; the first %d are accepted and remain so. Apply again to commit the rest.", a.Stages.Of, a.Stages.Accepted)
}

// finishJSON prints the result if the output is JSON. The error then only sets
// the exit code, because the result contains the details.
func (a *app) finishJSON(result any, err error) error {
	if !a.json() {
		return err
	}
	if e := a.printJSON(result); e != nil {
		return e
	}
	if err != nil {
		return &reportedError{err}
	}
	return nil
}

// reportedError is an error that needs no message, because the JSON result has
// been printed.
type reportedError struct{ error }

func (e *reportedError) Unwrap() error { return e.error }

// waitInForce waits until a revision is in force everywhere. It reports success
// or what is missing.
func (a *app) waitInForce(conn connection, r storage.Revision, wait time.Duration) (*operator.InForce, error) {
	if wait <= 0 {
		return nil, nil
	}
	if conn.fleet == nil {
		return nil, newExitError(exitNotInForce, "The change is accepted, but whether it is in force everywhere can't be checked without --token-file.")
	}
	if r == 0 {
		return nil, newExitError(exitNotInForce, "The change is accepted, but its revision was lost with the response, and the platform is not responding. See \"foxtailspoke status\".")
	}
	ctx, cancel := context.WithTimeout(a.ctx, wait)
	defer cancel()
	f, err := conn.operator.WaitInForce(ctx, conn.fleet, r)
	if errors.Is(err, operator.ErrNoEntry) {
		return &f, newExitError(exitNotInForce, "The change is accepted, but no entry instance answered within %s, so it isn't known whether it is in force everywhere.", wait)
	}
	if !f.InForce {
		return &f, newExitError(exitNotInForce, "The change is accepted, but not in force everywhere after %s. %d witnesses know it; missing: %s", wait, len(f.KnownBy), missingWitnesses(f.Missing))
	}
	if !a.json() {
		a.printf("The change is in force everywhere.\n")
	}
	return &f, nil
}

func missingWitnesses(list []string) string {
	if len(list) == 0 {
		return "none, but the waiting time has not elapsed"
	}
	return strings.Join(list, ", ")
}

// confirm asks the operator for confirmation. Any input but y or yes, including
// the end of input, declines.
func (a *app) confirm(question string) bool {
	a.notef("%s [y/N] ", question)
	line, _ := bufio.NewReader(a.streams.In).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}
