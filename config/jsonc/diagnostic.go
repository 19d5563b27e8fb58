// Package jsonc reads JSON with comments and validates it strictly: unknown and
// duplicate members, wrong types and values out of range are all reported in one
// pass, each with its position in the file.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Diagnostic describes one error in a file.
type Diagnostic struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count bytes. Both are 0 if the
	// error has no position in the file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the value from the root, such as
	// "plans.workshop.services".
	Field string `json:"field,omitempty"`
	// Found describes the value found, and Allowed the values accepted.
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns the diagnostic in one line, in the format that editors recognize
// in compiler output: file:line:column: field: found …; allowed: ….
func (f Diagnostic) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	fmt.Fprintf(&b, "found %s; allowed: %s", f.Found, f.Allowed)
	return b.String()
}

// Diagnostics are all errors found by a check. It is empty if the check passed.
type Diagnostics []Diagnostic

// Error implements error with one line for each diagnostic.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, diagnostic := range f {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the diagnostics by their position.
func (f Diagnostics) Sort() {
	slices.SortStableFunc(f, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// Err returns the diagnostics as an error, or nil if there are none.
func (f Diagnostics) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
