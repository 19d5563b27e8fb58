// Package labcommand implements the foxtailspoke-lab command.
package labcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"foxtailspoke/lab"
	"foxtailspoke/mechanism"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const help = `Simulates random deployments with two policies and prints the paired difference
of each measure with its 95% confidence interval.

Example:
  foxtailspoke-lab --draws 1000 --b-without probe
  foxtailspoke-lab --settings examples/lab/hanging.jsonc --plot difference.svg
  foxtailspoke-lab --ablate --draws 300`

type options struct {
	Settings string   `long:"settings" description:"settings file, JSON with comments"`
	Draws    int      `long:"draws" description:"number of deployments to simulate (default 200)"`
	Seed     uint64   `long:"seed" description:"random seed (default 1)"`
	Without  []string `long:"b-without" description:"mechanism to disable in policy B; may be repeated"`
	Plot     string   `long:"plot" description:"output file for the plot (.png, .svg)"`
	JSON     bool     `long:"json" description:"write the result as JSON"`
	Ablate   bool     `long:"ablate" description:"disable each mechanism in turn and print how the measures change"`
}

// Run runs the command and returns its exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag)
	parser.Name, parser.LongDescription = "foxtailspoke-lab", help
	if _, err := parser.ParseArgs(args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, err)
			return exitDone
		}
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	s, err := o.settings()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	x, err := s.Experiment()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if o.Ablate {
		err = ablate(x, stdout)
	} else {
		err = o.compare(x, s.Plot, stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitDone
}

// settings returns those of the settings file, overridden by the command line.
func (o options) settings() (lab.Settings, error) {
	s := lab.Settings{Draws: 200, Seed: 1}
	if o.Settings != "" {
		var err error
		if s, err = lab.LoadSettings(o.Settings); err != nil {
			return s, err
		}
	}
	if o.Draws > 0 {
		s.Draws = o.Draws
	}
	if o.Seed > 0 {
		s.Seed = o.Seed
	}
	if len(o.Without) > 0 {
		s.B.Without = o.Without
	}
	if o.Plot != "" {
		s.Plot = o.Plot
	}
	return s, nil
}

func (o options) compare(x lab.Experiment, plot string, w io.Writer) error {
	result := x.Run()
	if plot != "" {
		if err := result.Plot(plot); err != nil {
			return err
		}
	}
	if o.JSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(result.Measures), "write result")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The writer keeps its first error until Flush, which returns it.
	_, _ = fmt.Fprintf(t, "%d draws, seed %d; A without %s, B without %s\n", x.Draws, x.Seed, x.A, x.B)
	_, _ = fmt.Fprintln(t, "measure\tA\tB\tB less A\twithin\tbetter")
	for _, c := range result.Measures {
		_, _ = fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", c.Name, c.A, c.B, c.Difference, c.Within, c.Verdict())
	}
	return errors.Wrap(t.Flush(), "write result")
}

// ablate compares the full policy with one that lacks a single mechanism, for each
// mechanism.
func ablate(x lab.Experiment, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%d draws, seed %d; change of each measure without the mechanism (* significant at 95%%)\n", x.Draws, x.Seed)
	_, _ = fmt.Fprint(t, "mechanism")
	for _, name := range lab.MeasureNames {
		_, _ = fmt.Fprintf(t, "\t%s", name)
	}
	_, _ = fmt.Fprintln(t)
	for _, m := range mechanism.All {
		x.B = mechanism.Disable(m)
		_, _ = fmt.Fprint(t, string(m))
		for _, c := range x.Run().Measures {
			mark := ""
			if c.Verdict() != "same" {
				mark = "*"
			}
			_, _ = fmt.Fprintf(t, "\t%+.4f%s", c.Difference, mark)
		}
		_, _ = fmt.Fprintln(t)
	}
	return errors.Wrap(t.Flush(), "write result")
}
