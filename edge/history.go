package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"foxtailspoke/event"
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
)

// History is what an instance has counted and recorded lately.
type History struct {
	Retries retry.History
	// SuspectRequests are those under which servers ended.
	SuspectRequests quarantine.Knowledge
	// Levels are the contents of the workspaces' buckets, by the hash of the workspace's name.
	Levels map[uint32]float64
}

// History returns the history of this instance.
func (s *Snapshots) History(_ Nothing, reply *History) error {
	s.edge.mu.Lock()
	defer s.edge.mu.Unlock()
	now := s.edge.now()
	st := &s.edge.state
	*reply = History{st.budgets.History(now), st.quarantine.Knowledge(now), st.usage.Levels(now)}
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

// fetchHistory replaces the retry counts by those of a peer if these cover more, adds its suspects,
// and replaces the contents of new buckets.
func (e *Edge) fetchHistory(ctx context.Context, peer uint32) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	e.mu.Lock()
	spent := e.state.usage.Spent()
	e.mu.Unlock()
	var history History
	if err := callPeer(ctx, addrPort(peer, e.peerPort).String(), methodHistory, &history); err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", addrPort(peer, 0).Addr().String()), slog.Any("error", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.state.quarantine.Adopt(history.SuspectRequests, now)
	buckets := e.state.usage.Adopt(history.Levels, spent, now)
	if e.state.budgets.Adopt(history.Retries, now) || buckets > 0 {
		event.RetryHistoryAdopted.Log(e.log, slog.String("peer", addrPort(peer, 0).Addr().String()),
			slog.Float64("coverage", round3(e.state.budgets.Coverage(now).Lowest)), slog.Int("buckets", buckets))
	}
}
