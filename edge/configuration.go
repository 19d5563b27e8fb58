package edge

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"foxtailspoke/configcheck"
	"foxtailspoke/event"
	"foxtailspoke/platform"
	"foxtailspoke/retry"
)

// PathConfiguration is the path of the configuration in force on an instance's
// metrics address. API keys are replaced by their digests.
const PathConfiguration = "/configuration"

const (
	// configurationTimeout bounds the time in which a client reads the configuration:
	// 10.6 MB of 55,000 workspaces and 11,000 routes take 8.5 s on a link of 10 Mbit/s.
	configurationTimeout = 20 * time.Second
	// defaultHeldBytes is what an instance that doesn't know its memory holds of long bodies.
	defaultHeldBytes = 32 << 20
)

// ConfigurationBounds returns the limits of instances that no configuration raises.
func ConfigurationBounds() configcheck.Bounds {
	return configcheck.Bounds{
		Attempts: retry.MaxFleetAttempts, HeaderBytes: maxHeaderBytes,
		HeldBytes: defaultHeldBytes,
	}
}

// configurationHandler serves the configuration in force. It writes one response at
// a time, as each takes processor time that requests need on a small machine.
type configurationHandler struct {
	edge *Edge
	busy sync.Mutex
}

// ServeHTTP implements http.Handler.
func (h *configurationHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !h.busy.TryLock() {
		w.Header().Set("Retry-After", platform.FormatRetryAfter(time.Second))
		http.Error(w, "another client reads the configuration", http.StatusServiceUnavailable)
		return
	}
	defer h.busy.Unlock()
	h.edge.mu.Lock()
	config := h.edge.state.configInForce
	h.edge.mu.Unlock()
	if config == nil {
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
		return
	}
	// A client that stops reading must not keep others from reading. The deadline is one of
	// the connection, so that it must not be used again.
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(configurationTimeout))
	w.Header().Set("Content-Type", "application/json")
	if err := platform.WriteRedactedConfig(w, config); err != nil {
		event.PeerMessageFailed.Log(h.edge.log, slog.Any("error", err))
	}
}
