package attempt

import (
	"net/http"
	"strings"

	"foxtailspoke/wire"
)

// hopByHop lists the headers that belong to one connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// keyHeaders lists the headers in which callers present keys.
var keyHeaders = []string{"Authorization", "Cookie", "X-Api-Key"}

// replayHeaders lists the headers that make http.Transport send a request a
// second time by itself. With one of them a POST without a body would be
// repeated after its bytes were written; the backend server would run it
// twice. wire.HeaderOperation takes their place.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// forwardedHeader returns the caller's headers as they may go on. The key
// goes on only to another entry instance.
func forwardedHeader(h http.Header, toEntry bool) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	deleteHopByHop(out)
	// The caller was told to go on here already.
	out.Del("Expect")
	deleteAll(out, replayHeaders)
	if !toEntry {
		deleteAll(out, keyHeaders)
	}
	for name := range out {
		if strings.HasPrefix(name, wire.HeaderPrefix) {
			delete(out, name)
		}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	return out
}

// CopyResponseHeader copies a backend server's headers into the caller's answer,
// without those of the connection and of the protocol between the two.
func CopyResponseHeader(to, from http.Header) {
	kept := from.Clone()
	deleteHopByHop(kept)
	for name, values := range kept {
		if !strings.HasPrefix(name, wire.HeaderPrefix) {
			to[name] = values
		}
	}
}

// deleteHopByHop removes the headers of one connection, and those that
// Connection lists as such. Passed on, they would tell the next connection
// what was meant for this one.
func deleteHopByHop(h http.Header) {
	for _, listed := range h.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	deleteAll(h, hopByHop)
}

func deleteAll(h http.Header, names []string) {
	for _, name := range names {
		h.Del(name)
	}
}
