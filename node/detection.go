package node

import (
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// failureSpanGap is how long after its last bad attempt a server is in doubt. A
// later one begins a new doubt, so that a rare failure hours ago doesn't count
// as the beginning of today's fault.
const failureSpanGap = 30 * time.Second

// failureSpan is when the attempts reported against a server began and last came.
type failureSpan struct{ first, last time.Duration }

// recordFailures follows the servers that reports speak against, for the time
// from the first bad attempt reported to the ejection.
func (n *Node) recordFailures(r health.Report) {
	for _, s := range r.Servers {
		bad := slices.ContainsFunc(s.Workspaces, func(w health.WorkspaceCount) bool { return w.Failed+w.Late > 0 })
		if !bad {
			continue
		}
		d, known := n.failureSpans[s.Server]
		if !known || n.now-d.last > failureSpanGap {
			d.first = n.now
		}
		d.last = n.now
		n.failureSpans[s.Server] = d
	}
}

func (n *Node) evictFailureSpans() {
	for server, d := range n.failureSpans {
		if n.now-d.last > failureSpanGap {
			delete(n.failureSpans, server)
		}
	}
}

// newlyEjected returns the servers that a proposal ejects anew.
func newlyEjected(before, after config.Permits) []string {
	var added []string
	for _, e := range after.Ejected {
		if !isEjected(before, e.Server) {
			added = append(added, e.Server)
		}
	}
	return added
}

// permitsWritten takes the end of a write of a permits row.
func (n *Node) permitsWritten(service string, r storage.WriteResult) {
	ejected := n.permitWrites[service]
	delete(n.permitWrites, service)
	if r.Outcome != storage.Committed {
		return
	}
	for _, server := range ejected {
		if d, known := n.failureSpans[server]; known {
			n.emit(Noted{Note: NoteDetected, Subject: server, Took: n.now - d.first})
		}
	}
}
