package callers

import (
	"net/http"
	"slices"
	"strings"
)

// rejectReason describes why the target of a request is not accepted, or returns
// an empty string.
//
// Servers interpret dot segments, empty segments, escaped slashes and path
// parameters differently: /catalogue/..%2Forders/1 matches the prefix of the
// catalogue, but names the orders at a backend server that unescapes and cleans
// it. A workspace could thus reach services that are not in its plan. Only paths
// that all servers interpret alike are forwarded.
func rejectReason(r *http.Request) string {
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
	if containsEscape(r.URL.EscapedPath(), "%2f", "%5c") || containsEscape(path, "%2e", "%2f", "%5c", "%25") {
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

// containsEscape reports whether a path contains one of the escapes, ignoring
// case.
func containsEscape(path string, found ...string) bool {
	path = strings.ToLower(path)
	return slices.ContainsFunc(found, func(e string) bool { return strings.Contains(path, e) })
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
