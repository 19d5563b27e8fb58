package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/mechanism"
	"foxtailspoke/routing"
)

// takeToken takes a token of the workspace's rate for a request, or returns the time after which the
// caller should return. Edge.mu must be held.
func (e *Edge) takeToken(c *call, now time.Duration) (bool, time.Duration) {
	workspace, rank := workspaceHash(c.workspace.Name), routing.Priority(c.route, c.workspace)
	ok, wait := e.state.usage.Take(workspace, rank, now)
	if ok {
		return true, 0
	}
	c.reserved = e.state.usage.Reserved(workspace, rank, now)
	if !e.mechanisms.Enabled(mechanism.Reserve) {
		// Random jitter keeps callers that are refused together from returning together.
		wait += time.Duration(rand.Float64() * float64(retryAfterShort))
	}
	return false, wait
}
