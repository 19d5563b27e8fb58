package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config/jsonc"
	"foxtailspoke/operator"
	"foxtailspoke/operator/fleet"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// Environment variables that are read if an option is not set.
const (
	envPlatform  = "FOXTAILSPOKE_PLATFORM"
	envTokenFile = "FOXTAILSPOKE_TOKEN_FILE"
	envSettings  = "FOXTAILSPOKE_SETTINGS"
	envUser      = "USER"
)

type globalOptions struct {
	Platform       string        `long:"platform" value-name:"URL" description:"URL of the platform; else $FOXTAILSPOKE_PLATFORM, else the settings file's \"platform\""`
	TokenFile      string        `long:"token-file" value-name:"FILE" description:"File with the operator token for entry instances; else $FOXTAILSPOKE_TOKEN_FILE, else the settings file's \"tokenFile\""`
	EntryAddresses []string      `long:"entry" value-name:"ADDRESS" description:"Operator address of an entry instance to query instead of those that the platform lists, for use while the platform is unavailable. May be repeated"`
	Settings       string        `long:"settings" value-name:"FILE" description:"Settings file, JSON with comments; else $FOXTAILSPOKE_SETTINGS. Example: {\"platform\": \"http://10.0.0.1:7000\", \"tokenFile\": \"operator.token\", \"as\": \"maria\"}"`
	OperatorName   string        `long:"as" value-name:"NAME" description:"Operator name for the audit trail; else the settings file's \"as\", else $USER"`
	Output         string        `long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
	Timeout        time.Duration `long:"timeout" default:"20s" description:"Time limit for requests to the platform, including the resolution of a lost response"`
}

// settings holds the values merged from options, environment variables and the
// settings file.
type settings struct {
	platform     string
	tokenFile    string
	operatorName string
}

func (a *app) settings() (settings, error) {
	s, err := a.settingsFile()
	if err != nil {
		return settings{}, err
	}
	s.platform = firstNonEmpty(a.global.Platform, a.getenv(envPlatform), s.platform)
	s.tokenFile = firstNonEmpty(a.global.TokenFile, a.getenv(envTokenFile), s.tokenFile)
	s.operatorName = firstNonEmpty(a.global.OperatorName, s.operatorName, a.getenv(envUser))
	return s, nil
}

func (a *app) settingsFile() (settings, error) {
	file := firstNonEmpty(a.global.Settings, a.getenv(envSettings))
	if file == "" {
		return settings{}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return settings{}, errors.Wrap(err, "settings")
	}
	var s settings
	readText := func(target *string) func(jsonc.Value) {
		return func(v jsonc.Value) { *target, _ = v.Text() }
	}
	doc, root := jsonc.Parse(file, data)
	root.Object(
		jsonc.Field{Name: "platform", Read: readText(&s.platform)},
		jsonc.Field{Name: "tokenFile", Read: readText(&s.tokenFile)},
		jsonc.Field{Name: "as", Read: readText(&s.operatorName)},
	)
	return s, doc.Diagnostics().Err()
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

// connection holds the clients that commands use.
type connection struct {
	platform *client.Client
	operator *operator.Operator
	// fleet is nil if no token file is configured.
	fleet operator.Fleet
}

// errNoPlatform reports that no platform is configured.
var errNoPlatform = newExitError(exitUsage, "no platform: use --platform URL or set $%s", envPlatform)

func (a *app) connect() (connection, error) {
	s, err := a.settings()
	if err != nil {
		return connection{}, err
	}
	if s.platform == "" {
		return connection{}, errNoPlatform
	}
	p, err := client.New(s.platform, client.Settings{})
	if err != nil {
		return connection{}, newExitError(exitUsage, "platform %q: %v", s.platform, err)
	}
	c := connection{platform: p, operator: operator.New(p, operator.Settings{OperatorName: s.operatorName})}
	if s.tokenFile == "" {
		return c, nil
	}
	token, err := fleet.ReadToken(s.tokenFile)
	if err != nil {
		return connection{}, err
	}
	c.fleet = fleet.New(a.instances(p), token, 0)
	return c, nil
}

// instances returns the source of the entry instances' addresses: the --entry
// options if there are any, else the platform.
func (a *app) instances(p *client.Client) storage.Instances {
	if len(a.global.EntryAddresses) > 0 {
		return fleet.Addresses(a.global.EntryAddresses)
	}
	return p
}

// connectForChange is connect for commands that make changes. It fails if there
// is no operator name for the audit trail.
func (a *app) connectForChange() (connection, error) {
	s, err := a.settings()
	if err != nil {
		return connection{}, err
	}
	if s.operatorName == "" {
		return connection{}, newExitError(exitUsage, "no operator name for the audit trail: use --as NAME")
	}
	return a.connect()
}

// withTimeout returns a context limited by the --timeout option.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.global.Timeout)
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.streams.Out, format, args...)
}

// notef prints a message that isn't part of the result to standard error.
func (a *app) notef(format string, args ...any) {
	fmt.Fprintf(a.streams.Err, format, args...)
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.streams.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print")
}

func (a *app) json() bool { return a.global.Output == outputJSON }

// durationFlag is a duration option that also accepts days: 90m, 36h or 7d.
type durationFlag time.Duration

const day = 24 * time.Hour

// UnmarshalFlag implements flags.Unmarshaler.
func (s *durationFlag) UnmarshalFlag(value string) error {
	if days, ok := strings.CutSuffix(value, "d"); ok {
		n, err := strconv.Atoi(days)
		if err != nil || n < 0 {
			return errors.Newf("%q isn't a valid number of days", value)
		}
		*s = durationFlag(time.Duration(n) * day)
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return errors.Newf("%q isn't a duration such as 90m, 36h or 7d", value)
	}
	*s = durationFlag(d)
	return nil
}

// ago returns the current time minus the duration.
func (s durationFlag) ago() time.Time { return time.Now().Add(-time.Duration(s)) }
