package node

import (
	"math"
	"time"

	"foxtailspoke/decision"
)

const (
	// fareHalfLife is how fast a workspace's past counts for less.
	fareHalfLife = 5 * time.Minute
	// fareMinimum is how many recent requests a workspace needs to be judged.
	fareMinimum = 20
	// maxFares bounds the workspaces that are followed.
	maxFares = 4096
)

// Fare is how a workspace fares at this instance.
type Fare struct {
	Workspace string
	// Failed is the share of its recent requests that failed by no fault of
	// its own: not served in full, or refused inside its rate.
	Failed float64
}

// fares follows the workspaces that used this instance lately.
type fares struct{ by map[string]*fare }

// fare has fading counts as of a time.
type fare struct {
	all, failed float64
	at          time.Duration
}

func newFares() fares { return fares{by: map[string]*fare{}} }

// note counts a request that has ended.
func (f *fares) note(now time.Duration, r decision.Record) {
	if r.Workspace == "" {
		return
	}
	one, known := f.by[r.Workspace]
	if !known {
		if len(f.by) >= maxFares {
			return
		}
		one = &fare{at: now}
		f.by[r.Workspace] = one
	}
	one.fade(now)
	one.all++
	if ownFault(r.Rule) {
		one.failed++
	}
}

func (o *fare) fade(now time.Duration) {
	left := math.Exp2(-(now - o.at).Seconds() / fareHalfLife.Seconds())
	o.all *= left
	o.failed *= left
	o.at = now
}

// forget drops the workspaces that haven't come for long.
func (f *fares) forget(now time.Duration) {
	for name, one := range f.by {
		one.fade(now)
		if one.all < 1 {
			delete(f.by, name)
		}
	}
}

// worst returns the workspace with the greatest share of failures, the first
// by name among equals; false if none was here often enough.
func (f *fares) worst(now time.Duration) (Fare, bool) {
	var worst Fare
	found := false
	for _, name := range sortedKeys(f.by) {
		one := f.by[name]
		one.fade(now)
		if one.all < fareMinimum {
			continue
		}
		if failed := one.failed / one.all; !found || failed > worst.Failed {
			worst = Fare{Workspace: name, Failed: failed}
			found = true
		}
	}
	return worst, found
}

// ownFault says whether a request that ended by a rule failed by the system's
// or a backend server's fault and not by the caller's.
func ownFault(r decision.Rule) bool {
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
