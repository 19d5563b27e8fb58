package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// ExecutionsReport is the response to GET /control/executions.
type ExecutionsReport struct {
	Executions []Execution `json:"executions"`
	// Dropped counts the executions not recorded because the log was full.
	Dropped int `json:"dropped"`
}

// SecretsReport is the response to GET /control/secrets.
type SecretsReport struct {
	// Detected lists the watched secrets received on any connection, in any
	// part of a request.
	Detected []string `json:"seen"`
}

// RawHeadersReport is the response to GET /control/raw.
type RawHeadersReport struct {
	// Headers holds the header blocks of the latest requests as received.
	Headers []string `json:"headers"`
	// Incomplete counts the requests whose header block could not be captured
	// completely.
	Incomplete int `json:"incomplete"`
}

func (b *Backend) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	executions, dropped := b.Executions()
	writeJSON(w, ExecutionsReport{Executions: executions, Dropped: dropped})
}

func (b *Backend) serveRawHeaders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.RawHeaders())
}

func (b *Backend) serveDetectedSecrets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, SecretsReport{Detected: b.DetectedSecrets()})
}

func (b *Backend) serveWatchSecrets(w http.ResponseWriter, r *http.Request) {
	var secrets []string
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&secrets)
	if err == nil && slices.Contains(secrets, "") {
		err = errInvalidSecrets
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.WatchSecrets(secrets...)
	w.WriteHeader(http.StatusNoContent)
}

// RawHeaders returns the header blocks of the latest requests as received.
func (b *Backend) RawHeaders() RawHeadersReport { return b.rawCapture.report() }

// WatchSecrets adds secrets, such as callers' API keys, to search for in all
// bytes received from now on.
func (b *Backend) WatchSecrets(secrets ...string) { b.rawCapture.watchSecrets(secrets) }

// DetectedSecrets returns the watched secrets that were received, sorted.
func (b *Backend) DetectedSecrets() []string { return b.rawCapture.detectedSecrets() }
