package event

import (
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const page = "../docs/EVENTS.md"

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(Markdown()), 0o644))
	}
	written, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, Markdown(), string(written))
}

func TestNumbersAscend(t *testing.T) {
	last := 0
	for _, e := range All() {
		must.Greater(t, last, e.Number)
		last = e.Number
	}
}
