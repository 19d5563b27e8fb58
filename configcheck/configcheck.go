// Package configcheck finds entries of a configuration that can't take effect as
// written, and the differences between two configurations, before operators send
// one to the fleet.
//
// Load: operators change routes, rates and keys while callers send requests, and a
// change is in force at all instances within two seconds. Instances apply whatever
// they can decode: of two routes with the same host and prefix they use the last
// one, and requests for a misspelt service are rejected until the next version.
//
// Approach: the configuration is checked as decoded, by what instances do with
// each value, and reported with the line and field that the operators wrote. A
// finding is an error if instances reject the configuration or act differently
// from what it says, otherwise a warning. Trade-off: the instances don't enforce
// these rules themselves. A rule that rejects a configuration at an instance would
// make the fleet keep an older one, which affects all callers for the mistake in
// one entry.
package configcheck

import (
	"cmp"
	"slices"
	"strings"

	"foxtailspoke/routing"
)

// Severity is whether a finding makes a configuration invalid.
type Severity int

const (
	// Warning marks an entry without effect, or limits that contradict each other.
	Warning Severity = iota
	// Error marks what instances reject, or apply differently from what it says.
	Error
)

// String returns "error" or "warning".
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Severity) UnmarshalText(text []byte) error {
	*s = Warning
	if string(text) == Error.String() {
		*s = Error
	}
	return nil
}

// Code identifies the kind of a finding.
type Code string

// Findings on the document, which its decoder reports.
const (
	SyntaxInvalid     Code = "syntax"
	TypeWrong         Code = "type"
	FieldDuplicate    Code = "duplicate-field"
	FieldUnknown      Code = "unknown-field"
	FieldMisspelt     Code = "misspelt-field"
	VersionInvalid    Code = "version"
	PrefixInvalid     Code = "prefix"
	RouteNoService    Code = "no-service"
	KindUnknown       Code = "unknown-kind"
	ServiceOverridden Code = "service-overridden"
	WeightNotPositive Code = "weight-not-positive"
	OutOfRange        Code = "out-of-range"
	Rejected          Code = "rejected"
)

// Findings of Check.
const (
	RouteDuplicate       Code = "duplicate-route"
	RouteNameDuplicate   Code = "duplicate-route-name"
	RouteUnreachable     Code = "unreachable-route"
	ServiceDuplicate     Code = "duplicate-service"
	ServiceUnlisted      Code = "unlisted-service"
	ServiceUnused        Code = "unused-service"
	WorkspaceDuplicate   Code = "duplicate-workspace"
	WorkspaceWithoutKey  Code = "workspace-without-key"
	KeyShared            Code = "key-of-two-workspaces"
	KeyRepeated          Code = "repeated-key"
	KeyEmpty             Code = "empty-key"
	KeyUnusable          Code = "unusable-key"
	KeyRedacted          Code = "redacted-key"
	BurstBelowOne        Code = "burst-below-one"
	BurstWithoutRate     Code = "burst-without-rate"
	TimeoutBelowTarget   Code = "timeout-below-latency-target"
	AttemptsUnused       Code = "unused-attempts"
	HeaderLimitTooLarge  Code = "header-limit-beyond-memory"
	BodyLimitTooLarge    Code = "body-limit-beyond-memory"
	LimitNegative        Code = "negative-limit"
	VersionNotIncreasing Code = "version-not-increasing"
)

// Finding is one thing to correct or to know before a configuration is sent.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// Line counts from 1; 0 means that the finding has no place in the file.
	Line int `json:"line"`
	// Field is the path of the value, such as "routes[3].timeout_s".
	Field string `json:"field"`
	Text  string `json:"text"`
}

// Section is a part of the configuration.
type Section int

// The sections.
const (
	Whole Section = iota
	Routes
	Services
	Workspaces
	Limits
)

// Attribute is a value of an entry of a section.
type Attribute int

// The attributes. Entry stands for the entry as a whole.
const (
	Entry Attribute = iota
	Version
	Name
	Host
	Prefix
	Kind
	Timeout
	LatencyTarget
	Priority
	RouteServices
	MaxAttempts
	Public
	Regions
	HealthPath
	MaxConnections
	WarmUp
	WarmUpRate
	Keys
	Rate
	Burst
	MaxHeaderBytes
	MaxBodyBytes
	HeaderTimeout
	IdleTimeout
)

// Field identifies a value of a configuration independently of the file's format.
type Field struct {
	Section Section
	// Index is that of the entry in its section.
	Index     int
	Attribute Attribute
	// Element is an index of routing.Route.Services, Key.Index, or WholeList.
	Element int
}

// WholeList as an index means the list itself.
const WholeList = -1

// Position is the place of a value in the file.
type Position struct {
	Path string
	// Line is that of the nearest enclosing value if the file has no such value.
	Line int
}

// Key is an API key of a workspace in the order of the file.
type Key struct {
	Hash routing.Key
	// Digest is a short hash, which may be shown.
	Digest string
	// Workspace is an index of routing.Config.Workspaces, and Index that of the key
	// among those of the workspace.
	Workspace, Index int
	State            KeyState
}

// KeyState is whether callers can use a key.
type KeyState int

const (
	// Usable keys can be sent by callers.
	Usable KeyState = iota
	// Empty keys are equal to the key of a request without one.
	Empty
	// Unusable keys can't be sent in a header.
	Unusable
	// Redacted keys are digests in the place of keys.
	Redacted
)

// Document is a decoded configuration with the positions of its values.
type Document struct {
	Config routing.Config
	Keys   []Key
	Locate func(Field) Position
}

// Bounds are the limits of an instance that no configuration can raise.
type Bounds struct {
	// Attempts bounds the attempts of one request.
	Attempts int
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// HeldBytes is the memory for the long bodies of all requests.
	HeldBytes int64
}

// Sort orders findings by line, errors first within a line.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(b.Severity, a.Severity),
			strings.Compare(a.Field, b.Field))
	})
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, s Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}
