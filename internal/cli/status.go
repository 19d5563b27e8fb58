package cli

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/operator"
)

const statusHelp = `Shows the version of the lists in force, the ejected backend servers with the
reasons, and for every entry instance its configuration, the backend servers at
reduced weight and the workspaces near their limits. If the instances are down,
it shows only the data in the table. If the platform is unavailable, specify
instances with --entry.

Examples:
$ foxtailspoke status
$ foxtailspoke status --entry 10.0.1.7:8012      (the platform is unavailable)
$ foxtailspoke status --output json | jq '.entries[].status.listsVersion'`

type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	conn, err := c.app.connect()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	s, err := conn.operator.Status(ctx, conn.fleet)
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(s)
	}
	if s.TableError != "" {
		c.app.notef("The platform's table couldn't be read: %s\n", s.TableError)
	} else {
		c.printTable(s)
	}
	switch {
	case conn.fleet == nil:
		c.app.notef("Entry instances weren't queried: that requires --token-file.\n")
	case s.EntriesError != "":
		c.app.notef("Entry instances couldn't be listed: %s\n", s.EntriesError)
	}
	for _, e := range s.Entries {
		c.printEntry(e)
	}
	return nil
}

func (c *statusCommand) printTable(s operator.Status) {
	c.app.printf("Lists version %d at revision %d: %d workspaces, %d plans, %d services, %d keys.\n",
		s.ListsVersion, s.Revision, s.Workspaces, s.Plans, s.Services, s.Keys)
	for _, service := range slices.Sorted(maps.Keys(s.Ejected)) {
		for _, e := range s.Ejected[service] {
			c.app.printf("Ejected: %s of %s: %s (requested by %s)\n", e.Server, service, e.Reason, e.By)
		}
	}
}

func (c *statusCommand) printEntry(e operator.EntryStatus) {
	i := e.Instance
	if e.Status == nil {
		c.app.printf("%s in %s (%s): no response: %s\n", i.ID, i.DataCentre, i.State, e.Error)
		return
	}
	s := e.Status
	c.app.printf("%s in %s (%s): lists version %d, revision %d, confirmed by %s %s ago\n",
		i.ID, i.DataCentre, s.Serving, s.ListsVersion, s.Revision, s.Confirmation.Source,
		time.Duration(s.Confirmation.AgeSeconds*float64(time.Second)).Round(time.Millisecond))
	for _, service := range s.Services {
		c.printService(service)
	}
	for _, w := range s.WorkspacesNearLimit {
		c.app.printf("    workspace %s, service %s: %s tokens left of burst %s on this instance (%d of 60 parts), %d refused\n",
			w.Workspace, w.Service, formatDecimal(w.Tokens), formatDecimal(w.Burst), w.Parts, w.Refused)
	}
}

func (c *statusCommand) printService(s oas.ServiceStatus) {
	if s.Usable < s.Floor {
		c.app.printf("    service %s: %d of %d backend servers usable, below the floor %d\n", s.Name, s.Usable, s.Servers, s.Floor)
	}
	for _, l := range s.Lowered {
		c.app.printf("    service %s: %s at weight %s: %s\n", s.Name, l.Server, formatDecimal(l.Weight), strings.TrimSuffix(l.Reason, "."))
	}
}

// formatDecimal formats a number with at most two decimals.
func formatDecimal(f float64) string {
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(f, 'f', 2, 64), "0"), ".")
}
