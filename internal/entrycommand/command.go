// Package entrycommand is the command line of the entry daemon.
package entrycommand

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"foxtailspoke/entry"
	"foxtailspoke/entry/settings"
	"foxtailspoke/memory"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const help = `Runs one entry instance until SIGTERM, which begins a planned stop.

Example:
  foxtailspoke-entry --settings luzon-1.json
  foxtailspoke-entry --settings luzon-1.json --check`

type options struct {
	Settings string `long:"settings" required:"yes" description:"settings file, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and end"`
}

// Run runs the daemon and returns its exit status.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "foxtailspoke-entry"
	parser.LongDescription = help
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err, stdout, stderr)
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
	if err := serve(ctx, s, stdout, stderr); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func usage(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return exitUsage
}

func serve(ctx context.Context, s settings.Settings, stdout, stderr io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Log.Level)); err != nil {
		return errors.Wrap(err, "log.level")
	}
	log := slog.New(slog.NewJSONHandler(stderr, &slog.HandlerOptions{Level: level}))
	memory.SetSoftLimit(float64(s.MemoryMB))
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	self := e.Addresses()
	for _, l := range [][2]string{
		{"callers", self.Address}, {"peers", self.PeerAddress}, {"operators", self.OperatorAddress},
	} {
		_, _ = fmt.Fprintf(stdout, "listening %s %s\n", l[0], l[1])
	}
	return e.Run(ctx)
}
