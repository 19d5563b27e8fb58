package logreport

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// maxEpisodesShown limits the episodes in the text; those with the most lost
// requests come first.
const maxEpisodesShown = 20

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// The writer keeps its first error until Flush.
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(t, format+"\n", values...) }
	line("\tserved\tlate\trefused\tfailed\tnot owed\tshare")
	row := func(name string, c Count) {
		line("%s\t%d\t%d\t%d\t%d\t%d\t%.3f", name, c.Served, c.Late, c.Refused, c.Failed, c.ClientErrors, c.Share())
	}
	row("all", r.All)
	for _, part := range []struct {
		name   string
		counts map[string]Count
	}{
		{"service", r.Services},
		{"route", r.Routes},
		{"workspace", r.Workspaces},
		{"server", r.Servers},
	} {
		for _, name := range sortedByShare(part.counts) {
			row(part.name+" "+name, part.counts[name])
		}
	}
	for _, s := range r.Seconds {
		row(fmt.Sprintf("second %d %s", s.At, formatCounts(s.Rules)), s.Count)
	}
	line("")
	line("not served, by rule:\t%s", formatCounts(r.Rules))
	line("failed attempts:\t%s", formatCounts(r.Results))
	line("refused inside the rate:\t%s", formatCounts(r.RefusedWithinRate))
	line("worst-served workspace:\t%s", r.WorstWorkspace)
	line("spells:\t%d, with %d failed attempts and %d lost requests; detected after %d ms (median), %d ms (longest)",
		r.Detection.Episodes, r.Detection.Attempts, r.Detection.Lost, r.Detection.MedianMS, r.Detection.MaxMS)
	line("left out though well:\t%d", len(r.ExcludedHealthy))
	line("lines left out:\t%d", r.DroppedLines)
	line("lines unread:\t%d", r.UnparsedLines)
	line("")
	line("spell of\tfrom\tattempts\tlost\tdetected ms\tresults")
	for _, s := range costliest(r.Episodes) {
		line("%s\t%s\t%d\t%d\t%d\t%s", s.Server, s.From.Format("15:04:05.000"), s.Attempts, s.Lost, s.DetectionMS, formatCounts(s.Results))
	}
	return errors.Wrap(t.Flush(), "report")
}

// sortedByShare returns the names in ascending order of their share served.
func sortedByShare(counts map[string]Count) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := counts[names[i]].Share(), counts[names[j]].Share()
		return a < b || (a == b && names[i] < names[j])
	})
	return names
}

func costliest(episodes []FailureEpisode) []FailureEpisode {
	all := append([]FailureEpisode(nil), episodes...)
	sort.SliceStable(all, func(i, j int) bool {
		return all[i].Lost > all[j].Lost || (all[i].Lost == all[j].Lost && all[i].Attempts > all[j].Attempts)
	})
	return all[:min(len(all), maxEpisodesShown)]
}

// formatCounts lists names with their counts, largest first.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := counts[names[i]], counts[names[j]]
		return a > b || (a == b && names[i] < names[j])
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
