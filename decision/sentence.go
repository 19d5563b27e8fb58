package decision

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Sentence explains the outcome of the request and its reason, with the figures,
// to a reader without a technical background.
func (r Record) Sentence() string {
	info := Lookup(r.Rule)
	parts := []string{r.subject(), " ", r.outcomePhrase(), ": ", info.cause(r)}
	if advice := r.advice(); advice != "" {
		parts = append(parts, "; ", advice)
	}
	if r.SimilarSkipped > 0 {
		parts = append(parts, ". ", formatCount(r.SimilarSkipped, "more request"), " shortly before ended the same way")
	}
	return strings.Join(parts, "") + "."
}

// subject identifies the request by workspace, service and time of arrival.
func (r Record) subject() string {
	s := "A request"
	if r.Workspace != "" {
		s += " of workspace " + r.Workspace
	}
	if r.Service != "" {
		s += " to the service " + r.Service
	}
	if !r.At.IsZero() {
		s += " at " + r.At.UTC().Format("15:04:05 on 2 January 2006") + " (UTC)"
	}
	return s
}

// outcomePhrase states what happened to the request.
func (r Record) outcomePhrase() string {
	switch {
	case r.Rule == RuleServed && r.Outcome == RanBefore:
		return "was given the first answer again"
	case r.Rule == RuleServed && r.Attempts > 1:
		return "was served after a repeat"
	case r.Rule == RuleServed:
		return "was served"
	case r.Rule == RuleCallerDisconnected:
		return "ended early"
	case r.Outcome == NotRun:
		return "was refused and not carried out"
	case r.Rule == RuleStillRunning:
		return "came too early"
	case r.Outcome == RanBefore:
		return "was not carried out a second time"
	case r.Outcome == Unknown:
		return "got no whole answer"
	default:
		return "ended"
	}
}

// advice states whether and when the caller can send the request again. It is
// empty if there is nothing to say.
func (r Record) advice() string {
	switch {
	case r.Rule == RuleServed:
		return ""
	case r.Outcome == NotRun && r.RetryAfter > 0:
		return "it is safe to send it again, after " + formatDuration(r.RetryAfter)
	case r.Outcome == NotRun && Lookup(r.Rule).RetryAfter:
		return "it is safe to send it again"
	case r.Rule == RuleStillRunning && r.RetryAfter > 0:
		return "the caller may ask again after " + formatDuration(r.RetryAfter)
	case r.Rule == RuleAttemptsFailed:
		return "sending it again is safe, because this kind of request changes nothing by being repeated"
	case r.Outcome == Unknown && r.Rule != RuleCallerDisconnected:
		return "it may or may not have been carried out, so check before sending it again"
	default:
		return ""
	}
}

// formatDuration formats a duration for people: in milliseconds below a second,
// in tenths of a second below a minute, else in minutes and seconds.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return "less than a millisecond"
	case d < time.Second:
		return formatCount(int(d.Round(time.Millisecond)/time.Millisecond), "millisecond")
	case d < time.Minute:
		return formatNumber(math.Round(d.Seconds()*10)/10) + " seconds"
	default:
		d = d.Round(time.Second)
		return fmt.Sprintf("%s and %s", formatCount(int(d/time.Minute), "minute"), formatCount(int(d%time.Minute/time.Second), "second"))
	}
}

// formatCount returns the number followed by the noun in singular or plural.
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// formatSize formats a number of bytes for people.
func formatSize(n int64) string {
	switch {
	case n >= 1<<20:
		return formatNumber(math.Round(float64(n)/(1<<20)*10)/10) + " MB"
	case n >= 1<<10:
		return formatNumber(math.Round(float64(n)/(1<<10)*10)/10) + " KB"
	default:
		return formatCount(int(n), "byte")
	}
}
