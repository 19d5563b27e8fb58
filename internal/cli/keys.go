package cli

import (
	"bufio"
	"strings"
	"time"

	"foxtailspoke/operator"
)

const keysHelp = `Keys are issued to workspaces and revoked without interrupting traffic. A key is
printed once, when it is issued; only its SHA-256 hash is stored. A key's id is
a prefix of that hash.

Examples:
$ foxtailspoke keys give --workspace cebu-boatyard --label till-3
$ foxtailspoke keys list --workspace cebu-boatyard
$ foxtailspoke keys withdraw 3f2a90c1b7d4`

const issueHelp = `Issues a new key to a workspace and prints it once, on standard output.

Examples:
$ foxtailspoke keys give --workspace cebu-boatyard --label till-3
$ foxtailspoke keys give --workspace cebu-boatyard > key.txt`

const revokeHelp = `Revokes a key and waits until no instance accepts it any more. The key is
selected by its id or its label, or read from standard input. It is never an
argument, because arguments are visible in the process list.

Examples:
$ foxtailspoke keys withdraw 3f2a90c1b7d4
$ foxtailspoke keys withdraw --workspace cebu-boatyard --label till-3
$ foxtailspoke keys withdraw --stdin < leaked-key.txt`

const listHelp = `Lists keys by id, workspace and label.

Example:
$ foxtailspoke keys list --output json`

type issueCommand struct {
	app       *app
	Workspace string        `long:"workspace" value-name:"NAME" required:"yes" description:"Workspace that the key is issued to"`
	Label     string        `long:"label" description:"Distinguishes the key from others of the workspace"`
	Wait      time.Duration `long:"wait" default:"30s" description:"How long to wait until the key works everywhere; 0 disables waiting"`
}

type keyResult struct {
	Key string `json:"secret,omitempty"`
	operator.KeyChange
	InForce *operator.InForce `json:"inForce,omitempty"`
}

// Execute implements flags.Commander.
func (c *issueCommand) Execute([]string) error {
	conn, err := c.app.connectForChange()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	k, err := conn.operator.IssueKey(ctx, c.Workspace, c.Label)
	if err != nil {
		return err
	}
	switch k.Outcome {
	case operator.Conflict:
		return newExitError(exitConflict, "No key was issued: other operators keep changing workspace %s.", c.Workspace)
	case operator.Unresolved:
		return newExitError(exitUnresolved, "The platform's response was lost, so the key isn't shown. If \"foxtailspoke audit --attempt %s\" finds it later, revoke it with \"foxtailspoke keys withdraw %s\". Then issue another.", k.Attempt, k.Info.ID)
	case operator.Accepted, operator.NothingToDo:
	}
	if !c.app.json() {
		c.app.printf("%s\n", k.Secret.Reveal())
		c.app.notef("Key %s is issued to workspace %s. It isn't shown again.\n", k.Info.ID, c.Workspace)
	}
	inForce, err := c.app.withResultsOnStderr().waitInForce(conn, k.Revision, c.Wait)
	return c.app.finishJSON(keyResult{Key: k.Secret.Reveal(), KeyChange: k, InForce: inForce}, err)
}

// withResultsOnStderr returns an app that prints results to standard error, for
// commands whose standard output must contain only the key.
func (a *app) withResultsOnStderr() *app {
	redirected := *a
	redirected.streams.Out = a.streams.Err
	return &redirected
}

type revokeCommand struct {
	app       *app
	Workspace string        `long:"workspace" value-name:"NAME" description:"Workspace of the key with this --label"`
	Label     string        `long:"label" description:"Selects the key by its label"`
	Stdin     bool          `long:"stdin" description:"Read the key itself from standard input"`
	Wait      time.Duration `long:"wait" default:"30s" description:"How long to wait until no instance accepts the key; 0 disables waiting"`
	Args      struct {
		ID string `positional-arg-name:"ID" description:"The key's id, at least 6 digits of it"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *revokeCommand) Execute([]string) error {
	s, err := c.selector()
	if err != nil {
		return err
	}
	conn, err := c.app.connectForChange()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	k, err := conn.operator.RevokeKey(ctx, s)
	if err != nil {
		return err
	}
	if err := c.reportOutcome(k); err != nil {
		return c.app.finishJSON(keyResult{KeyChange: k}, err)
	}
	inForce, err := c.app.waitInForce(conn, k.Revision, c.Wait)
	return c.app.finishJSON(keyResult{KeyChange: k, InForce: inForce}, err)
}

func (c *revokeCommand) reportOutcome(k operator.KeyChange) error {
	switch k.Outcome {
	case operator.Conflict:
		return newExitError(exitConflict, "The key %s was not revoked: another change of the key was committed at the same time.", k.Info.ID)
	case operator.Unresolved:
		return newExitError(exitUnresolved, "The platform's response was lost. It isn't known whether key %s is revoked; revoke it again.", k.Info.ID)
	case operator.NothingToDo:
		c.app.notef("Key %s was revoked by another operator in the meantime.\n", k.Info.ID)
	case operator.Accepted:
		if !c.app.json() {
			c.app.printf("Key %s of workspace %s is revoked.\n", k.Info.ID, k.Info.Workspace)
		}
	}
	return nil
}

func (c *revokeCommand) selector() (operator.KeySelector, error) {
	selectors := 0
	for _, used := range []bool{c.Args.ID != "", c.Label != "", c.Stdin} {
		if used {
			selectors++
		}
	}
	if selectors != 1 {
		return operator.KeySelector{}, newExitError(exitUsage, "Select the key in exactly one way: by its ID, by --label, or by --stdin.")
	}
	if strings.HasPrefix(c.Args.ID, operator.KeyPrefix) {
		return operator.KeySelector{}, newExitError(exitUsage, "The argument is a key, which is now visible in the process list and perhaps in the shell history. Use its id, or --stdin.")
	}
	s := operator.KeySelector{ID: c.Args.ID, Workspace: c.Workspace, Label: c.Label}
	if c.Stdin {
		line, _ := bufio.NewReader(c.app.streams.In).ReadString('\n')
		s.Key = strings.TrimSpace(line)
		if s.Key == "" {
			return s, newExitError(exitUsage, "No key was found on standard input.")
		}
	}
	return s, nil
}

type listCommand struct {
	app       *app
	Workspace string `long:"workspace" value-name:"NAME" description:"List only the keys of this workspace"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	conn, err := c.app.connect()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	keys, err := conn.operator.ListKeys(ctx, c.Workspace)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(keys)
	}
	for _, k := range keys {
		c.app.printf("%s  %s  %s\n", k.ID, k.Workspace, k.Label)
	}
	return nil
}
