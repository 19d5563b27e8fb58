package edge

import (
	"log/slog"

	"foxtailspoke/event"
)

// recordDial records whether a connection to a backend server could be opened.
func (e *Edge) recordDial(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, now := e.state.reach, e.now()
	was, duration := r.CutOff(), r.CutOffFor(now)
	if err == nil {
		r.RecordSuccess(address)
	} else {
		r.RecordFailure(address, now)
	}
	switch {
	case !was && r.CutOff():
		event.ServersUnreachable.Log(e.log, slog.Any("error", err))
	case was && !r.CutOff():
		event.ServersReachable.Log(e.log, slog.Int64("after_ms", duration.Milliseconds()))
	}
}
