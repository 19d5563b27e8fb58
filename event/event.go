// Package event is the catalogue of numbered log events. Every log line of
// the daemons is one of them, so that operators can look up a number in
// docs/EVENTS.md and alert on it whatever the wording.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
)

// NumberKey is the attribute that carries an event's number.
const NumberKey = "event"

// Event is one entry of the catalogue.
type Event struct {
	// Number has a fixed meaning and is never reused.
	Number int
	Level  slog.Level
	// Message is the log line's text.
	Message string
	// Meaning tells operators what happened.
	Meaning string
	// Action tells operators what to do.
	Action string
}

// Log writes the event with its attributes.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	all := append([]slog.Attr{slog.Int(NumberKey, e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Message, all...)
}

// Markdown returns the catalogue as a page for docs.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from package event by `make generate`; don't edit.\n\n")
	b.WriteString("| number | level | message | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning, e.Action)
	}
	return b.String()
}
