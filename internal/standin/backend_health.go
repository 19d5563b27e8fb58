package standin

import (
	"net/http"
	"time"
)

// HealthReport is the response to GET HealthPath.
type HealthReport struct {
	// Status is "ok", "bad" or "draining".
	Status string `json:"status"`
}

const healthDraining = "draining"

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	status := b.health()
	w.Header().Set("Content-Type", "application/json")
	if status != healthOK {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, HealthReport{Status: status})
}

// health returns the status to report. HealthOverride takes precedence over
// the actual state, ReportLag delays it, and other faults do not affect it.
func (b *Backend) health() string {
	f := b.Faults()
	if f.HealthOverride != "" {
		return f.HealthOverride
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining && b.now()-b.drainingSince >= time.Duration(f.ReportLag) {
		return healthDraining
	}
	return healthOK
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	f := b.Faults()
	load := b.slots.loadAt(b.now() - time.Duration(f.ReportLag))
	if f.ReportZeroLoad {
		load = Load{Slots: load.Slots}
	}
	writeJSON(w, load)
}
