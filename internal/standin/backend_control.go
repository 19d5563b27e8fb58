package standin

import (
	"encoding/json"
	"net/http"
	"slices"
)

// ExecutionsReport is the answer to GET /control/executions.
type ExecutionsReport struct {
	Executions []Execution `json:"executions"`
	// Dropped counts those that were too many to keep.
	Dropped int `json:"dropped"`
}

// SecretsReport is the answer to GET /control/secrets.
type SecretsReport struct {
	// Detected are the secrets that came in on any connection, anywhere.
	Detected []string `json:"seen"`
}

// RawHeadersReport is the answer to GET /control/raw.
type RawHeadersReport struct {
	// Headers are the latest requests' header blocks, as received.
	Headers []string `json:"headers"`
	// Incomplete counts the requests whose block couldn't be kept whole.
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
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&secrets)
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

// RawHeaders returns the latest requests' header blocks, as received.
func (b *Backend) RawHeaders() RawHeadersReport { return b.rawCapture.report() }

// WatchSecrets lets the server look for secrets, such as callers' keys, in
// everything that it receives from now on.
func (b *Backend) WatchSecrets(secrets ...string) { b.rawCapture.watchSecrets(secrets) }

// DetectedSecrets returns the watched secrets that came in, sorted.
func (b *Backend) DetectedSecrets() []string { return b.rawCapture.detectedSecrets() }
