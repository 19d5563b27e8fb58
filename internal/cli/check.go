package cli

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config/lists"
	"foxtailspoke/storage"
)

const checkHelp = `Validates both lists and prints every error with its file, line and field.
If a platform is configured, floors are compared with the number of backend
servers that it lists; --offline skips this check.

Examples:
$ foxtailspoke check --offline customers.json plans.json
$ foxtailspoke check customers.json plans.json && echo valid`

// listFiles holds the arguments of check and apply.
type listFiles struct {
	Files struct {
		Customers string `positional-arg-name:"CUSTOMERS" description:"The customers' list"`
		Plans     string `positional-arg-name:"PLANS" description:"The plans' list"`
	} `positional-args:"yes" required:"yes"`
}

type checkCommand struct {
	app *app
	listFiles
	Offline bool `long:"offline" description:"Don't query the platform for the number of backend servers"`
}

type checkResult struct {
	Workspaces int `json:"workspaces"`
	Plans      int `json:"plans"`
	Services   int `json:"services"`
	// FloorsCompared reports whether floors were compared with the number of
	// backend servers.
	FloorsCompared bool `json:"floorsCompared"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	counts, err := c.serverCounts()
	if err != nil {
		return err
	}
	l, err := c.read(counts)
	if err != nil {
		return err
	}
	r := checkResult{len(l.Workspaces), len(l.Plans), len(l.Services), counts != nil}
	if c.app.json() {
		return c.app.printJSON(r)
	}
	c.app.printf("Both lists are valid: %d workspaces, %d plans, %d services.\n", r.Workspaces, r.Plans, r.Services)
	if counts == nil {
		c.app.notef("Floors weren't compared with the number of backend servers, because the platform wasn't queried.\n")
	}
	return nil
}

// serverCounts queries the platform for the numbers of backend servers. It
// returns nil if the check is offline or no platform is configured.
func (c *checkCommand) serverCounts() (lists.ServerCounts, error) {
	if c.Offline {
		return nil, nil
	}
	conn, err := c.app.connect()
	if errors.Is(err, errNoPlatform) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	return countServers(ctx, conn.platform)
}

// countServers returns the number of live backend servers of each service.
func countServers(ctx context.Context, p storage.Instances) (lists.ServerCounts, error) {
	all, err := p.List(ctx, 0)
	if err != nil {
		return nil, errors.Wrap(err, "list backend servers")
	}
	counts := lists.ServerCounts{}
	for _, i := range all.Changed {
		if i.Kind == storage.BackendServer && i.State == storage.Live {
			counts[i.Service]++
		}
	}
	return counts, nil
}

// read reads and validates both files. It returns all diagnostics as one error.
func (f *listFiles) read(counts lists.ServerCounts) (lists.Lists, error) {
	customers, err := readSource(f.Files.Customers)
	if err != nil {
		return lists.Lists{}, err
	}
	plans, err := readSource(f.Files.Plans)
	if err != nil {
		return lists.Lists{}, err
	}
	l, faults := lists.Check(customers, plans, counts)
	return l, faults.Err()
}

func readSource(path string) (lists.Source, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return lists.Source{}, errors.Wrap(err, "read list")
	}
	return lists.Source{File: path, Data: data}, nil
}
