package command

import (
	"time"

	"foxtailspoke/internal/measure"
	"foxtailspoke/internal/trial"
)

const loadHelp = `Sends the same lookup straight to the backend servers and through an entry
instance, at each rate in turn, and prints the latencies of both ways and
their difference. Only loopback addresses are taken, and every rate ends by
itself.

Example:
  foxtailspoke-trial load --entry 127.0.0.1:8010 --platform http://127.0.0.1:7000 \
    --token-file token --workspace load --path /lookup/glue \
    --backend lookup=127.0.0.1:7101,127.0.0.1:7201 --rate 100 --rate 1000 --for 10s`

type loadCommand struct {
	program *program

	Entry     string        `long:"entry" required:"yes" description:"address for callers of the entry instance"`
	Platform  string        `long:"platform" required:"yes" description:"the platform's URL"`
	Token     string        `long:"token-file" required:"yes" description:"file with the operators' token"`
	Workspace string        `long:"workspace" required:"yes" description:"workspace that sends the requests"`
	Path      string        `long:"path" required:"yes" description:"path of the lookup"`
	Backends  []string      `long:"backend" required:"yes" description:"a stand-in as service=address,control; may be repeated"`
	Rates     []int         `long:"rate" default:"100" default:"500" default:"1000" default:"2000" description:"requests per second, direct and through the entry; may be repeated"`
	For       time.Duration `long:"for" default:"10s" description:"duration of each rate"`
	EntryPID  int           `long:"entry-pid" description:"process ID of the entry instance, to read its CPU time"`
	Output    string        `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	backends, err := parseBackends(c.Backends)
	if err != nil {
		return err
	}
	steps, err := trial.Load(c.program.ctx, trial.LoadOptions{
		Entry:        c.Entry,
		Platform:     c.Platform,
		TokenFile:    c.Token,
		Workspace:    c.Workspace,
		Path:         c.Path,
		Backends:     backends,
		Rates:        c.Rates,
		RateDuration: c.For,
		EntryPID:     c.EntryPID,
	})
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return measure.WriteJSON(c.program.stdout, steps)
	}
	return measure.WriteTable(c.program.stdout, steps)
}
