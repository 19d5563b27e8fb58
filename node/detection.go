package node

import (
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// doubtMemory is how long after its last bad attempt a server is in doubt. A
// later one begins a new doubt, so that a rare failure hours ago doesn't count
// as the beginning of today's fault.
const doubtMemory = 30 * time.Second

// doubt is when the attempts reported against a server began and last came.
type doubt struct{ first, last time.Duration }

// noteDoubts follows the servers that reports speak against, for the time
// from the first bad attempt reported to the ejection.
func (n *Node) noteDoubts(r health.Report) {
	for _, s := range r.Servers {
		bad := slices.ContainsFunc(s.Workspaces, func(w health.WorkspaceCount) bool { return w.Failed+w.Late > 0 })
		if !bad {
			continue
		}
		d, known := n.doubts[s.Server]
		if !known || n.now-d.last > doubtMemory {
			d.first = n.now
		}
		d.last = n.now
		n.doubts[s.Server] = d
	}
}

func (n *Node) forgetDoubts() {
	for server, d := range n.doubts {
		if n.now-d.last > doubtMemory {
			delete(n.doubts, server)
		}
	}
}

// proposed returns the servers that a proposal ejects anew.
func proposed(before, after config.Permits) []string {
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
	ejected := n.permitting[service]
	delete(n.permitting, service)
	if r.Outcome != storage.Committed {
		return
	}
	for _, server := range ejected {
		if d, known := n.doubts[server]; known {
			n.emit(Noted{Note: NoteDetected, Subject: server, Took: n.now - d.first})
		}
	}
}
