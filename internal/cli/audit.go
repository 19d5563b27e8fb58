package cli

import (
	"fmt"
	"time"

	"foxtailspoke/operator"
)

const auditHelp = `Shows who changed what, when, and from which version to which, newest first.

Examples:
$ foxtailspoke audit
$ foxtailspoke audit --since 30d
$ foxtailspoke audit --attempt 6d1c...   (did a change whose response was lost take effect?)`

type auditCommand struct {
	app     *app
	Since   durationFlag `long:"since" default:"7d" description:"Maximum age of the entries shown, such as 12h or 30d"`
	Attempt string       `long:"attempt" value-name:"ID" description:"Show only this attempt; exit code 8 if it isn't found"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	conn, err := c.app.connect()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	entries, err := conn.operator.Audit(ctx, operator.AuditQuery{Since: c.Since.ago(), Attempt: c.Attempt})
	if err != nil {
		return err
	}
	if c.Attempt != "" && len(entries) == 0 {
		return newExitError(exitNotFound, "The attempt %s has not taken effect so far.", c.Attempt)
	}
	if c.app.json() {
		return c.app.printJSON(entries)
	}
	for _, e := range entries {
		c.app.printf("%s\n", auditLine(e))
		for _, change := range e.Changes {
			c.app.printf("    %s\n", change)
		}
		if e.MoreChanges > 0 {
			c.app.printf("    and %d more\n", e.MoreChanges)
		}
	}
	return nil
}

// auditLine formats an entry as one line.
func auditLine(e operator.AuditEntry) string {
	line := fmt.Sprintf("%s %s ", e.At.UTC().Format(time.RFC3339), e.Who)
	label := ""
	if e.Label != "" {
		label = fmt.Sprintf(" (%s)", e.Label)
	}
	switch e.Action {
	case operator.ApplyLists:
		line += fmt.Sprintf("changed the lists from version %d to %d", e.From, e.To)
	case operator.KeyIssued:
		line += fmt.Sprintf("issued key %s%s to workspace %s", e.Key, label, e.Workspace)
	case operator.KeyRevoked:
		line += fmt.Sprintf("revoked key %s%s of workspace %s", e.Key, label, e.Workspace)
	default:
		line += string(e.Action)
	}
	return line + fmt.Sprintf(" [attempt %s]", e.Attempt)
}
