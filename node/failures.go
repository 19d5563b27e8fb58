package node

import (
	"math"
	"time"

	"foxtailspoke/decision"
)

const (
	// outcomeHalfLife is how fast a workspace's past counts for less.
	outcomeHalfLife = 5 * time.Minute
	// minOutcomes is how many recent requests a workspace needs to be judged.
	minOutcomes = 20
	// maxTrackedWorkspaces bounds the workspaces that are followed.
	maxTrackedWorkspaces = 4096
)

// WorkspaceFailures is how a workspace fares at this instance.
type WorkspaceFailures struct {
	Workspace string
	// FailedRatio is the share of its recent requests that failed by no fault of
	// its own: not served in full, or refused inside its rate.
	FailedRatio float64
}

// workspaceFailures follows the workspaces that used this instance lately.
type workspaceFailures struct{ counts map[string]*outcomeCounts }

// outcomeCounts has fading counts as of a time.
type outcomeCounts struct {
	total, failed float64
	at            time.Duration
}

func newWorkspaceFailures() workspaceFailures {
	return workspaceFailures{counts: map[string]*outcomeCounts{}}
}

// record counts a request that has ended.
func (f *workspaceFailures) record(now time.Duration, r decision.Record) {
	if r.Workspace == "" {
		return
	}
	one, known := f.counts[r.Workspace]
	if !known {
		if len(f.counts) >= maxTrackedWorkspaces {
			return
		}
		one = &outcomeCounts{at: now}
		f.counts[r.Workspace] = one
	}
	one.decay(now)
	one.total++
	if isSystemFault(r.Rule) {
		one.failed++
	}
}

func (o *outcomeCounts) decay(now time.Duration) {
	left := math.Exp2(-(now - o.at).Seconds() / outcomeHalfLife.Seconds())
	o.total *= left
	o.failed *= left
	o.at = now
}

// evictIdle drops the workspaces that haven't come for long.
func (f *workspaceFailures) evictIdle(now time.Duration) {
	for name, one := range f.counts {
		one.decay(now)
		if one.total < 1 {
			delete(f.counts, name)
		}
	}
}

// worst returns the workspace with the greatest share of failures, the first
// by name among equals; false if none was here often enough.
func (f *workspaceFailures) worst(now time.Duration) (WorkspaceFailures, bool) {
	var worst WorkspaceFailures
	found := false
	for _, name := range sortedKeys(f.counts) {
		one := f.counts[name]
		one.decay(now)
		if one.total < minOutcomes {
			continue
		}
		if failed := one.failed / one.total; !found || failed > worst.FailedRatio {
			worst = WorkspaceFailures{Workspace: name, FailedRatio: failed}
			found = true
		}
	}
	return worst, found
}

// isSystemFault says whether a request that ended by a rule failed by the system's
// or a backend server's fault and not by the caller's.
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
