package node

import (
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// failureSpanGap is the longest gap between two reported failures of a server
// that belong to the same span. A later failure starts a new span, so that an
// isolated failure hours earlier does not count as the onset of the fault.
const failureSpanGap = 30 * time.Second

// failureSpan holds when failed or late attempts at a server were first and last
// reported.
type failureSpan struct{ first, last time.Duration }

// recordFailures updates the failure spans of the servers with failed or late
// attempts in a report. They give the time from the first report to the
// ejection.
func (n *Node) recordFailures(r health.Report) {
	for _, s := range r.Servers {
		failing := slices.ContainsFunc(s.Workspaces, func(w health.WorkspaceCount) bool { return w.Failed+w.Late > 0 })
		if !failing {
			continue
		}
		span, known := n.failureSpans[s.Server]
		if !known || n.now-span.last > failureSpanGap {
			span.first = n.now
		}
		span.last = n.now
		n.failureSpans[s.Server] = span
	}
}

func (n *Node) evictFailureSpans() {
	for server, span := range n.failureSpans {
		if n.now-span.last > failureSpanGap {
			delete(n.failureSpans, server)
		}
	}
}

// newlyEjected returns the servers that are ejected in after but not in before.
func newlyEjected(before, after config.Permits) []string {
	var added []string
	for _, e := range after.Ejected {
		if !isEjected(before, e.Server) {
			added = append(added, e.Server)
		}
	}
	return added
}

// handlePermitsWritten handles the result of a write to a permits row and
// reports how long it took to detect each newly ejected server.
func (n *Node) handlePermitsWritten(service string, r storage.WriteResult) {
	ejected := n.permitWrites[service]
	delete(n.permitWrites, service)
	if r.Outcome != storage.Committed {
		return
	}
	for _, server := range ejected {
		if span, known := n.failureSpans[server]; known {
			n.emit(Noted{Note: NoteDetected, Subject: server, Took: n.now - span.first})
		}
	}
}
