package jsonc

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Value is one value of a document with its path. Its methods report a diagnostic
// and return false if the value isn't of the requested type or range. The zero
// Value represents a file that couldn't be parsed; it reports nothing, because the
// document already has a diagnostic.
type Value struct {
	doc   *Document
	value hujson.Value
	field string
}

// Field defines a member that an object may have.
type Field struct {
	Name     string
	Required bool
	Read     func(Value)
}

// Path returns the value's path from the root, such as "plans.workshop".
func (v Value) Path() string { return v.field }

// Report adds a diagnostic at the position of the value.
func (v Value) Report(found, allowed string) {
	if v.doc != nil {
		v.doc.addDiagnostic(v.value.StartOffset, v.field, found, allowed)
	}
}

// Line returns the line on which the value begins.
func (v Value) Line() int {
	if v.doc == nil {
		return 0
	}
	line, _ := v.doc.position(v.value.StartOffset)
	return line
}

// Object reads an object that may have only the given members.
func (v Value) Object(fields ...Field) {
	seen := map[string]bool{}
	ok := v.Members(func(name, member Value) {
		key, _ := name.Text()
		i := slices.IndexFunc(fields, func(f Field) bool { return f.Name == key })
		if i < 0 {
			name.Report("the unknown field "+quoteTruncated(key), "the fields "+fieldNames(fields))
			return
		}
		seen[key] = true
		fields[i].Read(member)
	})
	if !ok {
		return
	}
	for _, f := range fields {
		if f.Required && !seen[f.Name] {
			v.Report("no field "+quoteTruncated(f.Name), "the field "+quoteTruncated(f.Name)+" is required")
		}
	}
}

// Members reads an object with arbitrary member names, in the order of the file.
// The first argument of each is the name as a value with its own position.
// Duplicate names are reported and skipped.
func (v Value) Members(each func(name, member Value)) bool {
	if v.doc == nil {
		return false
	}
	object, ok := v.value.Value.(*hujson.Object)
	if !ok {
		v.Report(v.describe(), "an object in braces")
		return false
	}
	firstLine := map[string]int{}
	for _, m := range object.Members {
		name := Value{doc: v.doc, value: m.Name, field: v.field}
		key, _ := name.Text()
		if line, duplicate := firstLine[key]; duplicate {
			name.Report(fmt.Sprintf("%s a second time, first on line %d", quoteTruncated(key), line), "each name once")
			continue
		}
		firstLine[key] = name.Line()
		name.field = join(v.field, key)
		each(name, Value{doc: v.doc, value: m.Value, field: name.field})
	}
	return true
}

// Elements reads an array and calls each for its elements in order.
func (v Value) Elements(each func(Value)) bool {
	if v.doc == nil {
		return false
	}
	array, ok := v.value.Value.(*hujson.Array)
	if !ok {
		v.Report(v.describe(), "an array in square brackets")
		return false
	}
	for i, e := range array.Elements {
		each(Value{doc: v.doc, value: e, field: fmt.Sprintf("%s[%d]", v.field, i)})
	}
	return true
}

// Text reads a string.
func (v Value) Text() (string, bool) {
	literal, ok := v.literal('"')
	if !ok {
		v.Report(v.describe(), "a string in quotes")
		return "", false
	}
	var s string
	if err := json.Unmarshal(literal, &s); err != nil {
		v.Report(v.describe(), "a string in quotes")
		return "", false
	}
	return s, true
}

// Bool reads true or false.
func (v Value) Bool() (bool, bool) {
	literal, ok := v.value.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		v.Report(v.describe(), "true or false")
		return false, false
	}
	return literal.Bool(), true
}

// Float reads a finite number in the range [lower, upper].
func (v Value) Float(lower, upper float64) (float64, bool) {
	allowed := fmt.Sprintf("a number from %s to %s", formatFloat(lower), formatFloat(upper))
	literal, ok := v.literal('0')
	if !ok {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	f, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || math.IsInf(f, 0) || f < lower || f > upper {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	return f, true
}

// Int reads an integer in the range [lower, upper].
func (v Value) Int(lower, upper int) (int, bool) {
	allowed := fmt.Sprintf("an integer from %d to %d", lower, upper)
	literal, ok := v.literal('0')
	if !ok {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	n, err := strconv.Atoi(string(literal))
	if err != nil || n < lower || n > upper {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	return n, true
}

// Duration reads a duration such as "1.5s" in the range [lower, upper].
func (v Value) Duration(lower, upper time.Duration) (time.Duration, bool) {
	allowed := fmt.Sprintf(`a duration from %s to %s in quotes, such as "1.5s"`, lower, upper)
	literal, ok := v.literal('"')
	if !ok {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	var s string
	_ = json.Unmarshal(literal, &s)
	d, err := time.ParseDuration(s)
	if err != nil || d < lower || d > upper {
		v.Report(v.describe(), allowed)
		return 0, false
	}
	return d, true
}

func (v Value) literal(kind hujson.Kind) ([]byte, bool) {
	literal, ok := v.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		return nil, false
	}
	return literal, true
}

// maxShownBytes bounds how much of an invalid value a diagnostic quotes.
const maxShownBytes = 60

// describe returns the text for the value in a diagnostic's Found.
func (v Value) describe() string {
	switch x := v.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if len(x) > maxShownBytes {
			return strings.ToValidUTF8(string(x[:maxShownBytes]), "") + "…"
		}
		return string(x)
	default:
		return "nothing"
	}
}

func fieldNames(fields []Field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = quoteTruncated(f.Name)
	}
	return strings.Join(names, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func quoteTruncated(s string) string {
	if len(s) > maxShownBytes {
		s = strings.ToValidUTF8(s[:maxShownBytes], "") + "…"
	}
	return strconv.Quote(s)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
