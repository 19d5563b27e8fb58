package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Backend is a stand-in backend server.
type Backend struct {
	Service string
	Address string
	Control string
}

// execution is one entry of a stand-in's execution log.
type execution struct {
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
}

// executions returns the execution logs of the stand-ins of a service.
func executions(ctx context.Context, backends []Backend, service string) ([]execution, error) {
	var all []execution
	for _, b := range backends {
		if b.Service != service {
			continue
		}
		var report struct {
			Executions []execution `json:"executions"`
		}
		if err := control(ctx, b, http.MethodGet, "executions", nil, &report); err != nil {
			return nil, err
		}
		all = append(all, report.Executions...)
	}
	return all, nil
}

// setFaults sets a stand-in's injected faults; nil clears all of them.
func setFaults(ctx context.Context, b Backend, faults map[string]any) error {
	if faults == nil {
		return control(ctx, b, http.MethodDelete, "faults", nil, nil)
	}
	return control(ctx, b, http.MethodPost, "faults", faults, nil)
}

// setSecrets makes the stand-ins search all received bytes for the texts.
func setSecrets(ctx context.Context, backends []Backend, texts []string) error {
	for _, b := range backends {
		if err := control(ctx, b, http.MethodPost, "secrets", texts, nil); err != nil {
			return err
		}
	}
	return nil
}

// receivedSecrets returns which of the texts from setSecrets the stand-ins
// received.
func receivedSecrets(ctx context.Context, backends []Backend) (map[string]bool, error) {
	found := map[string]bool{}
	for _, b := range backends {
		var report struct {
			Seen []string `json:"seen"`
		}
		if err := control(ctx, b, http.MethodGet, "secrets", nil, &report); err != nil {
			return nil, err
		}
		for _, text := range report.Seen {
			found[text] = true
		}
	}
	return found, nil
}

// control sends a request to the control API of a stand-in.
func control(ctx context.Context, b Backend, method, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "trial: control")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.Control+"/control/"+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "trial: control")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "trial: control")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("trial: control request %s to %s returned %s", path, b.Control, response.Status)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(reply), "trial: control")
}
