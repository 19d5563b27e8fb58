package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteTable writes steps as a table for reading.
func WriteTable(w io.Writer, steps []Step) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "requests/s\tway\tp50 µs\tp99 µs\tp99.9 µs\tserved\trefused\tfailed\tskipped\t")
	for _, s := range steps {
		row(t, s.Rate, "direct", s.Direct, s.DirectCount)
		row(t, s.Rate, "through", s.Through, s.ThroughCount)
		_, _ = fmt.Fprintf(t, "%d\tadded\t%d\t%d\t%d\t\t\t\t\t\n", s.Rate, s.Added.P50, s.Added.P99, s.Added.P999)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "measure: write table")
	}
	_, _ = fmt.Fprintln(w, "\n\"added\" is the difference of the quantiles, not the quantile of the differences.")
	for _, s := range steps {
		_, _ = fmt.Fprintf(w, "%d requests/s on each route: send delay p99 %d µs", s.Rate, s.SendDelay.P99)
		if s.CPUPerRequest > 0 {
			_, _ = fmt.Fprintf(w, "; entry %.0f µs of CPU time per request, %.1f MB resident", s.CPUPerRequest, float64(s.ResidentBytes)/(1<<20))
		}
		_, _ = fmt.Fprintln(w)
	}
	return nil
}

func row(w io.Writer, rate int, name string, q Quantiles, c Count) {
	_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
		rate, name, q.P50, q.P99, q.P999, c.Served, c.Refused, c.Failed, c.Skipped)
}

// WriteJSON writes steps as JSON.
func WriteJSON(w io.Writer, steps []Step) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(steps), "measure: write JSON")
}
