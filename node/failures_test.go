package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/decision"
)

func TestWorstServedWorkspace(t *testing.T) {
	f := newWorkspaceFailures()
	note := func(workspace string, rule decision.Rule, times int) {
		for range times {
			f.record(time.Second, decision.Record{Workspace: workspace, Rule: rule})
		}
	}
	note("well", decision.RuleServed, 30)
	note("over", decision.RuleServed, 30)
	note("over", decision.RuleRateExceeded, 100) // caused by the caller
	note("ill", decision.RuleServed, 30)
	note("ill", decision.RuleNoServer, 10)
	note("rare", decision.RuleNoServer, 5) // below minOutcomes
	worst, ok := f.worst(time.Second)
	must.True(t, ok)
	must.Eq(t, WorkspaceFailures{Workspace: "ill", FailedRatio: 0.25}, worst)
	f.evictIdle(2 * time.Hour)
	must.MapEmpty(t, f.counts)
}
