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
