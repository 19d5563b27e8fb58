// Package command implements the command line of foxtailspoke-trial.
package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"foxtailspoke/internal/trial"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type program struct {
	ctx            context.Context
	stdout, stderr io.Writer
	status         int
}

// Run runs the program and returns its exit status: 0 on success, 1 on a failed
// check or an error, 2 on a usage error.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "foxtailspoke-trial"
	if _, err := parser.AddCommand("walk", "Walk through what callers see", walkHelp, &walkCommand{program: p}); err != nil {
		panic(err)
	}
	if _, err := parser.AddCommand("load", "Measure the time that an entry adds", loadHelp, &loadCommand{program: p}); err != nil {
		panic(err)
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return p.status
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, err)
		return exitOK
	case errors.As(err, &flagsErr):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	default:
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
}

const walkHelp = `Sends a lookup, an order with repeats, a photo and a flood, makes a backend
server gray, withdraws a key, and says for each whether it went as promised.

Example:
  foxtailspoke-trial walk --entry 127.0.0.1:8010 --platform http://127.0.0.1:7000 \
    --token-file token --backend catalogue=127.0.0.1:7101,127.0.0.1:7201`

type walkCommand struct {
	program *program

	Entry    string   `long:"entry" required:"yes" description:"address for callers of any entry instance"`
	Platform string   `long:"platform" required:"yes" description:"the platform's URL"`
	Token    string   `long:"token-file" required:"yes" description:"file with the operators' token"`
	Backends []string `long:"backend" required:"yes" description:"a stand-in as service=address,control; may be repeated"`
}

// Execute implements flags.Commander.
func (c *walkCommand) Execute([]string) error {
	backends, err := parseBackends(c.Backends)
	if err != nil {
		return err
	}
	failures, err := trial.Run(c.program.ctx, trial.Options{
		Entry:     c.Entry,
		Platform:  c.Platform,
		TokenFile: c.Token,
		Backends:  backends,
		Out:       c.program.stdout,
	})
	if err != nil {
		return err
	}
	if failures > 0 {
		c.program.status = exitFailed
		_, _ = fmt.Fprintf(c.program.stdout, "\n%d promises were broken.\n", failures)
		return nil
	}
	_, _ = fmt.Fprintln(c.program.stdout, "\nEverything went as promised.")
	return nil
}

func parseBackends(texts []string) ([]trial.Backend, error) {
	var backends []trial.Backend
	for _, text := range texts {
		service, addresses, ok := strings.Cut(text, "=")
		address, control, both := strings.Cut(addresses, ",")
		if !ok || !both {
			return nil, &flags.Error{Type: flags.ErrMarshal, Message: "--backend is service=address,control, not " + text}
		}
		backends = append(backends, trial.Backend{Service: service, Address: address, Control: control})
	}
	return backends, nil
}
