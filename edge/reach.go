package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
)

// recordDial records whether a connection to a backend server could be opened.
func (e *Edge) recordDial(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, now := e.state.reach, e.now()
	was, duration := r.Partitioned(), r.PartitionedFor(now)
	if err == nil {
		r.RecordSuccess(address)
	} else {
		r.RecordFailure(address, now)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// Kept connections are probably as silent.
		e.pool.CloseIdle(address)
		if r.Partitioned() {
			e.pool.CloseAllIdle()
		}
	}
	switch {
	case !was && r.Partitioned():
		event.ServersUnreachable.Log(e.log, slog.Any("error", err))
		e.announceReadiness()
	case was && !r.Partitioned():
		event.ServersReachable.Log(e.log, slog.Int64("after_ms", duration.Milliseconds()))
		e.announceReadiness()
	}
}

// probeWhilePartitioned tries to connect to a random server while this instance is partitioned, so
// that it notices the end without requests. The lock must be held.
func (e *Edge) probeWhilePartitioned(now time.Duration) {
	if !e.state.reach.Partitioned() {
		return
	}
	servers := e.state.placer.ServerStatuses(now)
	if len(servers) == 0 {
		return
	}
	address := servers[rand.IntN(len(servers))].Server.Address
	if e.state.reach.PartitionProbeDue(now) {
		go e.pool.Connect(context.Background(), address)
	}
}
