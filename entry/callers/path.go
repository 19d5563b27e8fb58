package callers

import (
	"net/http"
	"slices"
	"strings"
)

// notUnderstood says in a few words why a request's target can't be served,
// or is empty.
//
// Servers differ in how they read dot segments, empty segments, escaped
// slashes and path parameters: /catalogue/..%2Forders/1 belongs to the
// catalogue by its beginning, and to the orders at a backend server that
// unescapes and cleans it. A workspace could so reach what its plan doesn't
// have. Only paths that all of them read alike are passed on.
func notUnderstood(r *http.Request) string {
	if r.Method == http.MethodConnect {
		return "CONNECT isn't served"
	}
	path := r.URL.Path
	if !strings.HasPrefix(path, "/") {
		return "its path doesn't begin with a slash"
	}
	if strings.Contains(path, `\`) || strings.ContainsFunc(path, isControl) {
		return "its path holds a backslash or a control character"
	}
	if escapes(r.URL.EscapedPath(), "%2f", "%5c") || escapes(path, "%2e", "%2f", "%5c", "%25") {
		return "its path holds an escaped slash, or is escaped twice"
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		name, _, _ := strings.Cut(segment, ";")
		switch {
		case name == "." || name == "..":
			return "its path holds a dot segment"
		case name == "" && i < len(segments)-1:
			return "its path holds an empty segment"
		}
	}
	return ""
}

// escapes tells whether a path holds one of the escapes, in either case.
func escapes(path string, found ...string) bool {
	path = strings.ToLower(path)
	return slices.ContainsFunc(found, func(e string) bool { return strings.Contains(path, e) })
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
