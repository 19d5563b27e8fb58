// Package command is the command line of foxtailspoke-standin.
package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes of Run.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// program is what the subcommands share.
type program struct {
	ctx    context.Context
	stdout io.Writer
	log    *slog.Logger
}

// Run runs the command line with these arguments, without the program's
// name, until the context ends. It returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{ctx: ctx, stdout: stdout, log: slog.New(slog.NewTextHandler(stderr, nil))}
	parser := flags.NewNamedParser("foxtailspoke-standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "stand-ins of what surrounds foxtailspoke"
	parser.LongDescription = longDescription
	p.addCommands(parser)
	_, err := parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

const longDescription = `Small stand-ins of the platform, of backend servers and of network links,
for trials and tests. Each prints a line "listening WHAT ADDRESS" per listener
and runs until it gets SIGTERM.`

func (p *program) addCommands(parser *flags.Parser) {
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"platform", "the tables, objects and list of instances", platformHelp, &platformCommand{program: p}},
		{"backend", "a backend server of a service", backendHelp, &backendCommand{program: p}},
		{"link", "TCP relays that can be cut one way", linkHelp, &linkCommand{program: p}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "command %s", c.name))
		}
	}
}

func report(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case !errors.As(err, &flagsErr):
		fmt.Fprintln(stderr, "foxtailspoke-standin:", err)
		return exitError
	case flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagsErr.Message)
		return exitOK
	default:
		fmt.Fprintln(stderr, flagsErr.Message)
		return exitUsage
	}
}
