package attempt

import (
	"net/http"
	"strings"

	"foxtailspoke/wire"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// keyHeaders lists the headers in which callers send API keys.
var keyHeaders = []string{"Authorization", "Cookie", "X-Api-Key"}

// replayHeaders lists the headers that make http.Transport retry a request by
// itself. With one of them, a POST without a body would be resent after its
// bytes were written, and the backend server would execute it twice.
// wire.HeaderOperation replaces them.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// forwardedHeader returns the headers of a caller's request that are forwarded.
// The API key is forwarded only to another entry instance.
func forwardedHeader(h http.Header, toEntry bool) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	deleteHopByHop(out)
	// This instance has already answered the caller's expectation.
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

// CopyResponseHeader copies the headers of a backend server's response into the
// response to the caller, without hop-by-hop headers and those of the protocol
// between entry instance and backend server.
func CopyResponseHeader(to, from http.Header) {
	headers := from.Clone()
	deleteHopByHop(headers)
	for name, values := range headers {
		if !strings.HasPrefix(name, wire.HeaderPrefix) {
			to[name] = values
		}
	}
}

// deleteHopByHop removes the hop-by-hop headers and those that Connection lists,
// since they apply to a single connection only.
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
