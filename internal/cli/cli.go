// Package cli implements the commands of foxtailspoke, the operators' command
// line. It parses arguments and prints results; the actions themselves are in
// package operator.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"foxtailspoke/config/jsonc"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
)

// Exit codes, documented for scripts in longHelp.
const (
	exitOK = iota
	// exitFailed: any other failure; the message describes it.
	exitFailed
	// exitUsage: the command line is invalid.
	exitUsage
	// exitInvalid: a list or the settings file is invalid. Nothing was applied.
	exitInvalid
	// exitConflict: another operator's change was committed first, and this
	// one was not applied, except for the versions reported as accepted.
	exitConflict
	// exitUnresolved: the response was lost, and it isn't known yet whether
	// the change took effect.
	exitUnresolved
	// exitUnavailable: the platform did not respond. Nothing was changed,
	// except for the versions reported as accepted.
	exitUnavailable
	// exitNotInForce: the change is accepted, but it isn't known to be in
	// force everywhere yet.
	exitNotInForce
	// exitNotFound: no such workspace, key, request or attempt.
	exitNotFound
	// exitDeclined: the operator did not confirm the change.
	exitDeclined
)

const longHelp = `Operators configure foxtailspoke with two lists (customers and plans) and with
keys. Every change is written directly to the platform's table, so it works
even when all entry instances are down.

Getting started:
$ export FOXTAILSPOKE_PLATFORM=http://10.0.0.1:7000
$ export FOXTAILSPOKE_TOKEN_FILE=/etc/foxtailspoke/operator.token
$ foxtailspoke check customers.json plans.json
$ foxtailspoke apply customers.json plans.json
$ foxtailspoke keys give --workspace cebu-boatyard --label till-3
$ foxtailspoke status
$ foxtailspoke explain --workspace cebu-boatyard --since 1h

Exit codes: 0 success, 1 other failure, 2 usage error, 3 invalid list or
settings, 4 conflict with another operator's change, 5 response lost and outcome
unknown, 6 platform unavailable, 7 accepted but not known to be in force
everywhere, 8 not found, 9 declined.`

// Streams holds the standard streams of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// app is one invocation of the program.
type app struct {
	ctx     context.Context
	streams Streams
	getenv  func(string) string
	global  globalOptions
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func newExitError(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Newf(format, args...)}
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, s Streams, getenv func(string) string) int {
	a := &app{ctx: ctx, streams: s, getenv: getenv}
	parser := flags.NewNamedParser("foxtailspoke", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if err := a.addCommands(parser); err != nil {
		return a.reportError(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return a.reportError(err)
	}
	return exitOK
}

// reportError prints the error, unless it has been reported already, and
// returns the exit code.
func (a *app) reportError(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(a.streams.Out, usage.Message)
		return exitOK
	}
	if usage != nil {
		fmt.Fprintf(a.streams.Err, "%s\nSee foxtailspoke --help.\n", usage.Message)
		return exitUsage
	}
	code := exitCode(err)
	var reported *reportedError
	if errors.As(err, &reported) {
		return code
	}
	if a.global.Output == outputJSON {
		a.printErrorJSON(code, err)
		return code
	}
	fmt.Fprintln(a.streams.Err, err.Error())
	return code
}

func (a *app) printErrorJSON(code int, err error) {
	out := struct {
		Error  string            `json:"error"`
		Code   int               `json:"code"`
		Faults jsonc.Diagnostics `json:"faults,omitempty"`
	}{Error: err.Error(), Code: code}
	_ = errors.As(err, &out.Faults)
	_ = a.printJSON(out)
}

func exitCode(err error) int {
	var exitErr *exitError
	var faults jsonc.Diagnostics
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &faults):
		return exitInvalid
	case errors.Is(err, storage.ErrUnavailable):
		return exitUnavailable
	case errors.Is(err, operator.ErrUnknownWorkspace), errors.Is(err, operator.ErrUnknownKey):
		return exitNotFound
	case errors.Is(err, operator.ErrAmbiguousKey), errors.Is(err, operator.ErrLabel), errors.Is(err, operator.ErrNoQuery):
		return exitUsage
	default:
		return exitFailed
	}
}

func (a *app) addCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("General options", "", &a.global); err != nil {
		return err
	}
	add := func(parent interface {
		AddCommand(string, string, string, any) (*flags.Command, error)
	}, name, short, long string, command any,
	) (*flags.Command, error) {
		return parent.AddCommand(name, short, long, command)
	}
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"check", "Validate both lists", checkHelp, &checkCommand{app: a}},
		{"apply", "Apply both lists", applyHelp, &applyCommand{app: a}},
		{"get", "Show the lists in force", getHelp, &getCommand{app: a}},
		{"audit", "Show who changed what", auditHelp, &auditCommand{app: a}},
		{"status", "Show the status of the fleet", statusHelp, &statusCommand{app: a}},
		{"explain", "Explain why a request was served, delayed or refused", explainHelp, &explainCommand{app: a}},
	} {
		if _, err := add(p, c.name, c.short, c.long, c.command); err != nil {
			return err
		}
	}
	keys, err := add(p, "keys", "Issue, revoke and list keys", keysHelp, &struct{}{})
	if err != nil {
		return err
	}
	if _, err := add(keys, "give", "Issue a key to a workspace", issueHelp, &issueCommand{app: a}); err != nil {
		return err
	}
	if _, err := add(keys, "withdraw", "Revoke a key", revokeHelp, &revokeCommand{app: a}); err != nil {
		return err
	}
	_, err = add(keys, "list", "List keys", listHelp, &listCommand{app: a})
	return err
}
