package edge

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/upstream"
)

// Guards against a forwarded order that fails though no instance has sent it, and against one that is sent
// again though it may have run.
func TestResponseOfAForwarderWithoutOutcome(t *testing.T) {
	peer := netip.MustParseAddr("10.0.0.1")
	for status, want := range map[int]upstream.Outcome{
		http.StatusServiceUnavailable: upstream.NotSent,
		http.StatusBadGateway:         upstream.Broken,
		http.StatusOK:                 upstream.Broken,
	} {
		resp := attemptOf(upstream.Response{Outcome: upstream.Completed, Status: status, Header: http.Header{}}, peer)
		must.Eq(t, want, resp.Outcome, must.Sprintf("status %d", status))
	}
	served := upstream.Response{
		Outcome: upstream.Completed, Status: http.StatusServiceUnavailable,
		Header: http.Header{headerForwardOutcome: {upstream.Completed.String()}},
	}
	must.Eq(t, upstream.Completed, attemptOf(served, peer).Outcome)
}
