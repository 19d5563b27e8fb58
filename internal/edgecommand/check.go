package edgecommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"foxtailspoke/configcheck"
	"foxtailspoke/edge"
	"foxtailspoke/httphead"
	"foxtailspoke/platform"
)

const (
	// maxConfigurationBytes bounds a configuration. One of 55,000 workspaces and 11,000
	// routes takes a sixth of it.
	maxConfigurationBytes = 64 << 20
	// configurationTimeout bounds the reading of a configuration from an instance, which
	// ends it after 20 s.
	configurationTimeout = 25 * time.Second
)

// checkCommand checks a configuration and compares it with another one.
type checkCommand struct {
	Against string `long:"against" value-name:"FILE|ADDRESS" description:"compare with a file or an instance"`
	JSON    bool   `long:"json" description:"print JSON instead of lines"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration as the platform's store holds it"`
	} `positional-args:"yes" required:"yes"`
}

// checkReport is the result of a check.
type checkReport struct {
	File string `json:"file"`
	// Valid is set if there are no errors.
	Valid    bool                  `json:"valid"`
	Version  uint32                `json:"version"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	// Against is absent without another configuration, or if instances reject the
	// checked one.
	Against *comparison `json:"against,omitempty"`
}

// comparison is the other configuration and the differences from it.
type comparison struct {
	Source      string                   `json:"source"`
	Version     uint32                   `json:"version"`
	Differences []configcheck.Difference `json:"differences"`
}

// run returns the exit status: exitFailed if the configuration has errors, exitUsage
// if a configuration can't be read.
func (c *checkCommand) run(stdout, stderr io.Writer) int {
	r, err := c.report()
	if err == nil {
		err = c.print(stdout, r)
	}
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(stderr, printable(err.Error()))
		return exitUsage
	case !r.Valid:
		return exitFailed
	default:
		return exitOK
	}
}

func (c *checkCommand) report() (checkReport, error) {
	data, err := readConfiguration(c.Args.File)
	if err != nil {
		return checkReport{}, err
	}
	if c.Against == "" {
		return checkConfiguration(c.Args.File, data, nil), nil
	}
	other, err := readOther(c.Against)
	if err != nil {
		return checkReport{}, err
	}
	return checkConfiguration(c.Args.File, data, &other), nil
}

// otherConfiguration is what a configuration is compared with.
type otherConfiguration struct {
	source   string
	document configcheck.Document
}

// checkConfiguration checks the content of a file.
func checkConfiguration(file string, data []byte, other *otherConfiguration) checkReport {
	doc, findings, accepted := platform.ReadConfigFile(data, platform.FileKeys)
	r := checkReport{File: file, Findings: append([]configcheck.Finding{}, findings...)}
	if accepted {
		r.Version = doc.Config.Version
		r.Findings = append(r.Findings, configcheck.Check(doc, edge.ConfigurationBounds())...)
	}
	if accepted && other != nil {
		differences := configcheck.Differences(other.document, doc)
		r.Against = &comparison{other.source, other.document.Config.Version, differences}
		r.Findings = append(r.Findings,
			configcheck.CompareVersions(other.document, doc, len(differences) > 0)...)
	}
	configcheck.Sort(r.Findings)
	r.Errors = configcheck.Count(r.Findings, configcheck.Error)
	r.Warnings = configcheck.Count(r.Findings, configcheck.Warning)
	r.Valid = accepted && r.Errors == 0
	return r
}

// readOther reads the configuration to compare with. One that instances would reject
// has no effect that could be compared.
func readOther(source string) (otherConfiguration, error) {
	read, keys := readConfiguration, platform.FileKeys
	if isAddress(source) {
		read, keys = fetchConfiguration, platform.InstanceKeys
	}
	data, err := read(source)
	if err != nil {
		return otherConfiguration{}, err
	}
	doc, findings, accepted := platform.ReadConfigFile(data, keys)
	if !accepted {
		f := findings[slices.IndexFunc(findings, isError)]
		return otherConfiguration{}, errors.Newf("%s:%d: %s: %s", source, f.Line, f.Field, f.Text)
	}
	if keys == platform.FileKeys && slices.ContainsFunc(doc.Keys, isRedacted) {
		return otherConfiguration{}, errors.Newf(
			"%s has hashes in the place of keys; name the instance's metrics address instead", source)
	}
	return otherConfiguration{source, doc}, nil
}

func isError(f configcheck.Finding) bool { return f.Severity == configcheck.Error }

func isRedacted(k configcheck.Key) bool { return k.State == configcheck.Redacted }

// isAddress reports whether a source is ip:port or host:port. A file of such a name
// can be given as ./NAME.
func isAddress(source string) bool {
	host, port, err := net.SplitHostPort(source)
	if err != nil || host == "" || strings.ContainsAny(source, `/\`) {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func readConfiguration(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	defer func() { _ = f.Close() }()
	return readBounded(f, file)
}

func readBounded(r io.Reader, source string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxConfigurationBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read the configuration of %s", source)
	}
	if len(data) > maxConfigurationBytes {
		return nil, errors.Newf("%s has more than %d bytes", source, maxConfigurationBytes)
	}
	return data, nil
}

func fetchConfiguration(address string) ([]byte, error) {
	client := http.Client{Timeout: configurationTimeout, Transport: httphead.Transport{Next: http.DefaultTransport}}
	resp, err := client.Get("http://" + address + edge.PathConfiguration)
	if err != nil {
		return nil, errors.Wrap(err, "the instance doesn't answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusServiceUnavailable {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return nil, errors.Newf("%s: %s", address, strings.TrimSpace(string(reason)))
	}
	// Instances without this path serve their metrics there.
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "application/json" {
		return nil, errors.Newf(
			"%s serves no configuration (status %d); is it the metrics address of a current instance?",
			address, resp.StatusCode)
	}
	return readBounded(resp.Body, address)
}

func (c *checkCommand) print(w io.Writer, r checkReport) error {
	if c.JSON {
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		return errors.Wrap(out.Encode(r), "report")
	}
	return errors.Wrap(r.writeText(w), "report")
}

// writeText writes one line for each finding, in the format that editors recognize,
// and one for each difference.
func (r checkReport) writeText(w io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		field := f.Field
		if field == "" {
			field = "document"
		}
		fmt.Fprintln(&b,
			printable(fmt.Sprintf("%s:%d: %s: %s: %s [%s]", r.File, f.Line, f.Severity, field, f.Text,
				f.Code)))
	}
	if r.Against != nil {
		fmt.Fprintln(&b, printable(fmt.Sprintf("%d differences from version %s of %s",
			len(r.Against.Differences), versionText(r.Against.Version), r.Against.Source)))
		for _, d := range r.Against.Differences {
			fmt.Fprintln(&b, "  "+printable(d.String()))
		}
	}
	verdict := "valid, version " + versionText(r.Version)
	if !r.Valid {
		verdict = "not valid"
	}
	fmt.Fprintln(&b,
		printable(fmt.Sprintf("%s: %s; %d errors, %d warnings", r.File, verdict, r.Errors, r.Warnings)))
	_, err := io.WriteString(w, b.String())
	return err
}

// versionText shows a version as in the logs, and as in the configuration.
func versionText(version uint32) string {
	return fmt.Sprintf("%d (%s)", version, platform.FormatConfigVersion(version))
}

// printable replaces characters by which names in a file could change the terminal or
// look like further lines.
func printable(s string) string {
	return strings.Map(func(c rune) rune {
		if !unicode.IsPrint(c) {
			return unicode.ReplacementChar
		}
		return c
	}, s)
}
