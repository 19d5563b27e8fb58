// Package jsonc reads JSON with comments so strictly that an operator's slip
// can't pass: unknown and repeated members, wrong types and values out of
// range are all reported at once, each with its place in the file.
package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Diagnostic is one thing wrong in a file.
type Diagnostic struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count bytes. Both are 0 if the
	// fault has no place in the file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the value, such as "plans.workshop.services".
	Field string `json:"field,omitempty"`
	// Found tells what is there, and Allowed what may be there.
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

// String returns the fault in one line that editors and compilers' readers
// understand: file:line:column: field: found …; allowed: ….
func (f Diagnostic) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	fmt.Fprintf(&b, "found %s; allowed: %s", f.Found, f.Allowed)
	return b.String()
}

// Diagnostics are all faults of a check. An empty value means that it passed.
type Diagnostics []Diagnostic

// Error implements error with one line for each fault.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the faults by their place.
func (f Diagnostics) Sort() {
	slices.SortStableFunc(f, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// Err returns the faults as an error, or nil if there are none.
func (f Diagnostics) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
