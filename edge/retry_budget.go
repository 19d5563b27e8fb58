package edge

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
)

// maxAnnouncedServices is the number of services whose totals fit into one announcement.
const maxAnnouncedServices = 50

// newRetryBudgets returns the retry budgets of a run that starts now. If it is the first
// start of the whole fleet, there were no attempts before.
func newRetryBudgets(self retry.Run, firstStart bool, now time.Duration) *retry.FleetBudgets {
	b := retry.NewFleetBudgets(self, retryAfterShort, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if firstStart {
		b.AssumeNoneBefore(now)
	}
	return b
}

// serviceAttempts returns what this instance has sent to a service, for a message.
func (e *Edge) serviceAttempts(service string) []evidence.ServiceAttempts {
	return wireTotals(e.state.budgets.SentTotals(placement.Hash(service)))
}

// recentServiceAttempts returns what this instance has sent to the services that it used
// recently.
func (e *Edge) recentServiceAttempts() []evidence.ServiceAttempts {
	return wireTotals(e.state.budgets.RecentTotals(maxAnnouncedServices, e.now())...)
}

func wireTotals(totals ...retry.ServiceTotals) (list []evidence.ServiceAttempts) {
	for _, t := range totals {
		list = append(list, evidence.ServiceAttempts{Service: t.Service, Requests: t.Requests, Retries: t.Retries})
	}
	return list
}

// applyServiceAttempts counts what another instance reports to have sent.
func (e *Edge) applyServiceAttempts(m *fleet.ReceivedMessage, now time.Duration) {
	var totals []retry.ServiceTotals
	for _, a := range m.ServiceAttempts {
		totals = append(totals, retry.ServiceTotals{Service: a.Service, Totals: retry.Totals{Requests: a.Requests, Retries: a.Retries}})
	}
	e.state.budgets.ApplyReport(retry.Run{Instance: m.Source, Epoch: m.Epoch, SinceStart: m.From.AliveSinceStart}, totals, now)
}

// countRetry counts the retry or hedge that was decided, before it is sent: decisions
// made at the same moment must not all use the same remaining budget.
func (e *Edge) countRetry(service string, d retry.Decision) {
	if d.Action == retry.Retry || d.Action == retry.Hedge {
		e.state.budgets.Service(placement.Hash(service)).Count(true, e.now())
	}
}

// retryBound returns this instance's share of the platform's bound on retries.
func (e *Edge) retryBound(now time.Duration) retry.Limit {
	b := e.settings.Bounds
	contact := e.contact(now)
	return retry.Limit{
		Ratio: b.RetryRatio, Slack: b.RetrySlack,
		Coverage: e.state.budgets.Coverage(now).LimitedTo(contact.OnTimeShare), Silence: contact.MeanSilence,
	}
}

// retryBudget returns the remaining retry budget of a service.
func (e *Edge) retryBudget(service string) *retry.Budget {
	now := e.now()
	return e.state.budgets.Service(placement.Hash(service)).Budget(e.retryBound(now), now)
}

// retryAllowance returns the state of the retry budget of a service.
func (e *Edge) retryAllowance(service string) retry.Allowance {
	now := e.now()
	return e.state.budgets.Service(placement.Hash(service)).Allowance(e.retryBound(now), now)
}

// hasRetryBudget reports whether the budget allows requests that probe uncertain
// servers, since a failed one needs a retry.
func (e *Edge) hasRetryBudget(service string) bool {
	now := e.now()
	return e.state.budgets.Service(placement.Hash(service)).MayProbe(e.retryBound(now), now)
}
