// Package edgecommand is the command line of the edge daemon.
package edgecommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"foxtailspoke/edge"
	"foxtailspoke/edge/settings"
	"foxtailspoke/logging"
	"foxtailspoke/memory"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// settingsVariable is the environment variable that names the settings file
// if --settings is not given.
const settingsVariable = "FOXTAILSPOKE_SETTINGS"

const help = `Runs one edge instance until SIGTERM, which begins a planned stop.

Example:
  foxtailspoke-edge --settings edge.jsonc
  foxtailspoke-edge --settings edge.jsonc --check
  foxtailspoke-edge status 10.1.0.30:7341
  foxtailspoke-edge explain edge-1.log edge-2.log
  foxtailspoke-edge check config.json --against 10.1.0.30:7341`

type arguments struct {
	Settings string `long:"settings" description:"settings file, JSON with comments; default: the file named by FOXTAILSPOKE_SETTINGS"`
	Check    bool   `long:"check" description:"check the settings and exit"`

	Status  statusCommand  `command:"status" description:"shows the fleet state as seen by a running instance"`
	Explain explainCommand `command:"explain" description:"reports from log files which requests were served and why others were not"`
	// Configuration is the command check; the option of this name checks the settings.
	Configuration checkCommand `command:"check" description:"checks a configuration before it is sent, and shows what it would change"`
}

// Run runs the daemon with the given options and returns its exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, options ...edge.Option) int {
	var o arguments
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "foxtailspoke-edge"
	parser.LongDescription = help
	parser.SubcommandsOptional = true
	if _, err := parser.ParseArgs(args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, err)
			return exitOK
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if parser.Active != nil && parser.Active.Name == "check" {
		return o.Configuration.run(stdout, stderr)
	}
	if parser.Active != nil {
		if err := o.runCommand(parser.Active.Name, stdout); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return exitFailed
		}
		return exitOK
	}
	if o.Settings == "" {
		o.Settings = os.Getenv(settingsVariable)
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if o.Check {
		_, _ = fmt.Fprintln(stdout, "settings are in order")
		return exitOK
	}
	memory.SetSoftLimit(s.MemoryMB)
	e, err := edge.New(o.Settings, s, logging.NewWriter(stdout), options...)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	if err := e.Run(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func (o arguments) runCommand(name string, stdout io.Writer) error {
	if name == "explain" {
		return o.Explain.run(os.Stdin, stdout)
	}
	return o.Status.run(stdout)
}
