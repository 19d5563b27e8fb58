// Package command implements the command line of foxtailspoke-standin.
package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// environment holds what the subcommands share.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	log    *slog.Logger
}

// Run runs the command given by args, which exclude the program name, until ctx
// is cancelled. It returns the exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	env := &environment{ctx: ctx, stdout: stdout, log: slog.New(slog.NewTextHandler(stderr, nil))}
	parser := flags.NewNamedParser("foxtailspoke-standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "test doubles of the systems around foxtailspoke"
	parser.LongDescription = longDescription
	env.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

const longDescription = `Test doubles of the platform, of backend servers and of network links. Each
command prints a line "listening NAME ADDRESS" per listener and runs until
SIGTERM.`

func (env *environment) addCommands(parser *flags.Parser) {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"platform", "tables, objects and instance registry of the platform", platformHelp, &platformCommand{env: env}},
		{"backend", "backend server of a service", backendHelp, &backendCommand{env: env}},
		{"link", "TCP relays whose directions can be cut", linkHelp, &linkCommand{env: env}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "add command %s", c.name))
		}
	}
}

// exitCode prints err, if any, and returns the exit status for it.
func exitCode(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &flagsErr):
		fmt.Fprintln(stderr, "foxtailspoke-standin:", err)
		return exitFailed
	case flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagsErr.Message)
		return exitOK
	default:
		fmt.Fprintln(stderr, flagsErr.Message)
		return exitUsage
	}
}
