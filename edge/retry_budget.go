package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/placement"
	"foxtailspoke/quarantine"
	"foxtailspoke/retry"
)

const (
	// minHistoryInterval and maxHistoryInterval bound the time between two calls
	// for the retry counts of other instances. It doubles while the counts of this
	// instance remain incomplete.
	minHistoryInterval = 250 * time.Millisecond
	maxHistoryInterval = 4 * time.Second

	methodHistory = "Snapshots.History"

	// maxAnnouncedServices is the number of services whose totals fit into one announcement.
	maxAnnouncedServices = 50
)

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

// History is what an instance has counted and recorded lately.
type History struct {
	Retries retry.History
	// Suspects are the requests under which servers ended.
	Suspects quarantine.Knowledge
}

// History returns the history of this instance.
func (s *Snapshots) History(_ Nothing, reply *History) error {
	s.edge.mu.Lock()
	defer s.edge.mu.Unlock()
	now := s.edge.now()
	*reply = History{s.edge.state.budgets.History(now), s.edge.state.quarantine.Knowledge(now)}
	return nil
}

// adoptHistory fetches the history of other instances while the retry counts of
// this instance lack a part of the window.
func (e *Edge) adoptHistory(ctx context.Context) error {
	interval := minHistoryInterval
	for sleepContext(ctx, interval) {
		peer, needed := e.historyPeer()
		if !needed {
			interval = minHistoryInterval
			continue
		}
		interval = min(2*interval, maxHistoryInterval)
		if peer != 0 {
			e.fetchHistory(ctx, peer)
		}
	}
	return ctx.Err()
}

// historyPeer reports whether this instance lacks a part of the retry counts,
// and returns a random instance that may have it, or 0 if there is none. Instances
// that started after this one don't have it.
func (e *Edge) historyPeer() (id uint32, needed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.budgets.Coverage(e.now()).Incomplete() {
		return 0, false
	}
	var older []uint32
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.AliveSinceStart {
			older = append(older, id)
		}
	}
	if len(older) == 0 {
		return 0, true
	}
	return older[rand.IntN(len(older))], true
}

// fetchHistory replaces the retry counts by those of a peer if these cover more, and adds
// its suspects.
func (e *Edge) fetchHistory(ctx context.Context, peer uint32) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	var history History
	if err := callPeer(ctx, addrPort(peer, e.peerPort).String(), methodHistory, &history); err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", addrPort(peer, 0).Addr().String()), slog.Any("error", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.state.quarantine.Adopt(history.Suspects, now)
	if e.state.budgets.Adopt(history.Retries, now) {
		event.RetryHistoryAdopted.Log(e.log, slog.String("peer", addrPort(peer, 0).Addr().String()),
			slog.Float64("coverage", round3(e.state.budgets.Coverage(now).Lowest)))
	}
}
