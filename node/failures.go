package node

import (
	"math"
	"time"

	"foxtailspoke/decision"
)

const (
	// outcomeHalfLife is the half-life of the request counts.
	outcomeHalfLife = 5 * time.Minute
	// minOutcomes is the number of recent requests below which the failure
	// ratio of a workspace is not reported.
	minOutcomes = 20
	// maxTrackedWorkspaces bounds the memory for request counts.
	maxTrackedWorkspaces = 4096
)

// WorkspaceFailures is the failure ratio of a workspace at this instance.
type WorkspaceFailures struct {
	Workspace string
	// FailedRatio is the share of recent requests that failed for reasons other
	// than the caller: not served in full, or refused within the rate limit.
	FailedRatio float64
}

// workspaceFailures counts request outcomes for recently active workspaces.
type workspaceFailures struct{ counts map[string]*outcomeCounts }

// outcomeCounts holds exponentially decaying counts as of a time.
type outcomeCounts struct {
	total, failed float64
	at            time.Duration
}

func newWorkspaceFailures() workspaceFailures {
	return workspaceFailures{counts: map[string]*outcomeCounts{}}
}

// record counts a completed request.
func (f *workspaceFailures) record(now time.Duration, r decision.Record) {
	if r.Workspace == "" {
		return
	}
	counts, known := f.counts[r.Workspace]
	if !known {
		if len(f.counts) >= maxTrackedWorkspaces {
			return
		}
		counts = &outcomeCounts{at: now}
		f.counts[r.Workspace] = counts
	}
	counts.decay(now)
	counts.total++
	if isSystemFault(r.Rule) {
		counts.failed++
	}
}

func (c *outcomeCounts) decay(now time.Duration) {
	factor := math.Exp2(-(now - c.at).Seconds() / outcomeHalfLife.Seconds())
	c.total *= factor
	c.failed *= factor
	c.at = now
}

// evictIdle removes workspaces whose count has decayed below one request.
func (f *workspaceFailures) evictIdle(now time.Duration) {
	for name, counts := range f.counts {
		counts.decay(now)
		if counts.total < 1 {
			delete(f.counts, name)
		}
	}
}

// worst returns the workspace with the highest failure ratio, the first by name
// among equals; false if no workspace has at least minOutcomes requests.
func (f *workspaceFailures) worst(now time.Duration) (WorkspaceFailures, bool) {
	var worst WorkspaceFailures
	found := false
	for _, name := range sortedKeys(f.counts) {
		counts := f.counts[name]
		counts.decay(now)
		if counts.total < minOutcomes {
			continue
		}
		if ratio := counts.failed / counts.total; !found || ratio > worst.FailedRatio {
			worst = WorkspaceFailures{Workspace: name, FailedRatio: ratio}
			found = true
		}
	}
	return worst, found
}

// isSystemFault reports whether requests that end under the rule failed because
// of the system or a backend server rather than the caller.
func isSystemFault(r decision.Rule) bool {
	switch r {
	case decision.RulePeerUnreachable, decision.RuleConfigUnconfirmed, decision.RuleInstanceLeaving,
		decision.RuleOverloaded, decision.RuleNoServer, decision.RuleBackendBusy, decision.RuleDeadlineExceeded,
		decision.RuleAttemptsFailed, decision.RuleUnknownOutcome, decision.RuleAnswerTruncated,
		decision.RuleOperationElsewhere, decision.RuleOperationLost, decision.RuleClaimUnavailable,
		decision.RuleInternal:
		return true
	default:
		return false
	}
}
