package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Backend is a stand-in backend server with its control address.
type Backend struct {
	Service string
	Address string
	Control string
}

// execution is one line of a stand-in's log of what it ran.
type execution struct {
	Operation string `json:"operation"`
	Method    string `json:"method"`
	Path      string `json:"path"`
}

// executions returns what the stand-ins of a service ran.
func executions(ctx context.Context, backends []Backend, service string) ([]execution, error) {
	var all []execution
	for _, b := range backends {
		if b.Service != service {
			continue
		}
		var some struct {
			Executions []execution `json:"executions"`
		}
		if err := control(ctx, b, http.MethodGet, "executions", nil, &some); err != nil {
			return nil, err
		}
		all = append(all, some.Executions...)
	}
	return all, nil
}

// setFaults switches a stand-in's faults; nil ends them all.
func setFaults(ctx context.Context, b Backend, faults map[string]any) error {
	if faults == nil {
		return control(ctx, b, http.MethodDelete, "faults", nil, nil)
	}
	return control(ctx, b, http.MethodPost, "faults", faults, nil)
}

// watch lets the stand-ins look for texts in all bytes that they receive.
func watch(ctx context.Context, backends []Backend, texts []string) error {
	for _, b := range backends {
		if err := control(ctx, b, http.MethodPost, "secrets", texts, nil); err != nil {
			return err
		}
	}
	return nil
}

// seen returns which of the texts the stand-ins received.
func seen(ctx context.Context, backends []Backend) (map[string]bool, error) {
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

func control(ctx context.Context, b Backend, method, path string, send, receive any) error {
	body, err := json.Marshal(send)
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
		return errors.Newf("trial: control %s of %s answered %s", path, b.Control, response.Status)
	}
	if receive == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(receive), "trial: control")
}
