package lists

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

type customersFile struct {
	Workspaces map[string]config.Workspace `json:"workspaces"`
}

type plansFile struct {
	Services map[string]config.Service `json:"services"`
	Plans    map[string]config.Plan    `json:"plans"`
}

// Render encodes the lists as the two files that Check reads. Comments in the
// original files are lost, because the control table doesn't store them.
func (l Lists) Render() (customers, plans []byte, err error) {
	customers, err = json.MarshalIndent(customersFile{l.Workspaces}, "", "  ")
	if err != nil {
		return nil, nil, errors.Wrap(err, "render customers' list")
	}
	plans, err = json.MarshalIndent(plansFile{l.Services, l.Plans}, "", "  ")
	if err != nil {
		return nil, nil, errors.Wrap(err, "render plans' list")
	}
	return append(customers, '\n'), append(plans, '\n'), nil
}
