package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

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
		var some []execution
		if err := control(ctx, b, http.MethodGet, "executions", nil, &some); err != nil {
			return nil, err
		}
		all = append(all, some...)
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

// sawKey asks a stand-in whether a key was in any bytes that it received.
func sawKey(ctx context.Context, b Backend, key string) (bool, error) {
	var raw json.RawMessage
	if err := control(ctx, b, http.MethodGet, "raw", nil, &raw); err != nil {
		return false, err
	}
	return strings.Contains(string(raw), key), nil
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
