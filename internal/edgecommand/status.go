package edgecommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/edge"
	"foxtailspoke/httphead"
)

// statusTimeout bounds a status request. An instance answers within
// milliseconds; from another region the round trip adds tens of milliseconds.
const statusTimeout = 3 * time.Second

// statusCommand prints an instance's view of the fleet.
type statusCommand struct {
	JSON bool `long:"json" description:"print JSON instead of tables"`
	Args struct {
		Address string `positional-arg-name:"ip:port" description:"metrics address of an instance"`
	} `positional-args:"yes" required:"yes"`
}

func (c *statusCommand) run(stdout io.Writer) error {
	if _, _, err := net.SplitHostPort(c.Args.Address); err != nil {
		return errors.Wrapf(err, "%q isn't ip:port", c.Args.Address)
	}
	s, err := fetchStatus(c.Args.Address)
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(stdout)
		out.SetIndent("", "  ")
		return errors.Wrap(out.Encode(s), "status")
	}
	return printStatus(stdout, s)
}

func fetchStatus(address string) (edge.Status, error) {
	var s edge.Status
	client := http.Client{Timeout: statusTimeout, Transport: httphead.Transport{Next: http.DefaultTransport}}
	resp, err := client.Get("http://" + address + edge.PathStatus)
	if err != nil {
		return s, errors.Wrap(err, "the instance doesn't answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Newf("status %d; is %s the metrics address of an instance?", resp.StatusCode, address)
	}
	return s, errors.Wrap(json.NewDecoder(resp.Body).Decode(&s), "status")
}

func printStatus(w io.Writer, s edge.Status) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("%s in %s, %s", s.Instance, s.DataCentre, readiness(s.Ready))
	line("configuration %d, proved %s ago; servers as of %s ago; read by %s", s.Version, ago(s.ConfigAgeMS), ago(s.ServersAgeMS), orNone(s.Reader))
	if s.ReplacedMS > 0 {
		line("  replaced: another instance announced a newer configuration %s ago; the store was last read by this instance %s ago", ago(s.ReplacedMS), ago(s.OwnReadMS))
	}
	line("may count on %.0f%% of each workspace's rate", 100*s.RateShare)
	line("bodies take %.1f MB for requests and %.1f MB for responses, of %.1f MB",
		megabytes(s.Memory.RequestBytes), megabytes(s.Memory.ResponseBytes), megabytes(s.Memory.LimitBytes))
	if s.Partitioned {
		line("no connection to any backend server")
	}
	if len(s.Evacuated) > 0 {
		line("evacuated data centres: %s", strings.Join(s.Evacuated, ", "))
	}
	line("\nservice\tservers\tdraining\tevacuated\tcold\tlimited\tbacking off\taddress reused\toutstanding\tsuspects\tunserved\tadmitted\trejected by full\tleaving by plan")
	for _, v := range s.Services {
		line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%.0f%%\t%.0f%%\t%s", v.Service, v.Servers, v.Draining, v.Evacuated, v.Cold, v.Limited, v.BackingOff, v.AddressReused, v.Outstanding, v.Suspects, 100*v.UnservedShare, 100*v.AdmittedShare, 100*v.RejectedByFull, leaving(v))
	}
	if len(s.Suspects) > 0 {
		line("\nsuspect\tservice\trisk\tlast failure")
	}
	for _, v := range s.Suspects {
		line("%s\t%s\t%.2f\t%s %s ago", v.Server, v.Service, v.Risk, orNone(v.LastFailure), ago(v.LastFailureMS))
	}
	if len(s.Workspaces) > 0 {
		line("\nworkspace near its rate\trate\tburst\ttokens\treserved")
	}
	for _, v := range s.Workspaces {
		line("%s\t%g\t%g\t%.1f\t%.1f", v.Workspace, v.Rate, v.Burst, v.Tokens, v.Reserved)
	}
	line("\ninstance\tdata centre\tstate\theard")
	for _, v := range s.Instances {
		line("%s\t%s\t%s\t%s ago", v.IP, orNone(v.DataCentre), instanceState(v), ago(v.HeardMS))
	}
	return errors.Wrap(t.Flush(), "status")
}

// leaving returns the share of requests that leaves the data centre by plan, and why.
func leaving(s edge.ServiceStatus) string {
	if s.LeavingShare == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f%% (%s)", 100*s.LeavingShare, s.LeavingReason)
}
func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

func readiness(ready bool) string {
	if ready {
		return "ready"
	}
	return "not ready: callers aren't sent there"
}

func instanceState(i edge.InstanceStatus) string {
	var words []string
	switch {
	case !i.Alive:
		words = append(words, "silent")
	case i.Leaving:
		words = append(words, "not ready")
	default:
		words = append(words, "ready")
	}
	if i.Partitioned {
		words = append(words, "no connection to servers")
	}
	if i.SlowLink {
		words = append(words, "slow link")
	}
	return strings.Join(words, ", ")
}

func ago(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).Round(10 * time.Millisecond).String()
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
