package jsonc

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes bounds the size of a file. The lists of 55,000 workspaces take
	// about a quarter of it.
	MaxBytes = 16 << 20
	// MaxDepth bounds the nesting depth. The parser is recursive, so that a
	// file of opening brackets could otherwise overflow the stack, which
	// terminates the process.
	MaxDepth = 1000
)

// Document is a file being read. It collects the diagnostics.
type Document struct {
	file string
	// lineStarts holds the offset of the first byte of each line.
	lineStarts  []int
	diagnostics Diagnostics
	parsed      bool
}

// Parse parses a file. If it fails, the document has one diagnostic and the
// returned value is the zero Value, whose methods report nothing.
func Parse(file string, data []byte) (*Document, Value) {
	d := &Document{file: file, lineStarts: lineStarts(data)}
	if len(data) > MaxBytes {
		d.addDiagnostic(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxBytes))
		return d, Value{}
	}
	if offset := depthExceededAt(data); offset >= 0 {
		d.addDiagnostic(offset, "", fmt.Sprintf("values nested more than %d deep", MaxDepth), "fewer")
		return d, Value{}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d, Value{}
	}
	d.parsed = true
	return d, Value{doc: d, value: root}
}

// Parsed reports whether the file was parsed without a syntax error.
func (d *Document) Parsed() bool { return d.parsed }

// Diagnostics returns the errors found so far, ordered by position.
func (d *Document) Diagnostics() Diagnostics {
	d.diagnostics.Sort()
	return d.diagnostics
}

func (d *Document) addDiagnostic(offset int, field, found, allowed string) {
	line, column := d.position(offset)
	d.diagnostics = append(d.diagnostics, Diagnostic{
		File: d.file, Line: line, Column: column, Field: field, Found: found, Allowed: allowed,
	})
}

// position returns the line and column of an offset, both counted from 1.
func (d *Document) position(offset int) (line, column int) {
	line = sort.SearchInts(d.lineStarts, offset+1)
	return line, offset - d.lineStarts[line-1] + 1
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// depthExceededAt returns the offset of the bracket that exceeds MaxDepth, or -1.
// It counts brackets in strings and comments as well, which is acceptable because
// the bound is far above the nesting of any valid file.
func depthExceededAt(data []byte) int {
	depth := 0
	for i, c := range data {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i
		}
	}
	return -1
}

var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func (d *Document) addSyntaxError(err error) {
	f := Diagnostic{File: d.file, Line: 1, Column: 1, Found: err.Error(), Allowed: "JSON, with // and /* */ comments and trailing commas"}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
		f.Found = m[3]
	}
	d.diagnostics = append(d.diagnostics, f)
}
