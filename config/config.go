// Package config defines the operators' configuration: workspaces and their
// plans, the services that each plan may use, and API keys. It also defines the
// rows through which instances coordinate (shards, permits, witnesses), because
// they are stored in the same control table of the platform.
//
// A Replica is one instance's copy of the control table. It starts no
// goroutines and does no I/O: its owner passes changes to it. It isn't safe for
// concurrent use.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Prefixes and names of row keys in the control table. A prefix is followed by
// the name of the object.
const (
	WorkspacePrefix = "workspace/"
	PlanPrefix      = "plan/"
	ServicePrefix   = "service/"
	APIKeyPrefix    = "key/"
	ShardPrefix     = "shard/"
	PermitPrefix    = "permit/"
	WitnessesKey    = "witnesses"
	// UnadvertisedKey is the row that lists the entry instances that are
	// temporarily not advertised to callers.
	UnadvertisedKey = "unadvertised"
	// ListsKey is the row that is rewritten with every accepted pair of lists,
	// so that of two concurrent updates by operators only one succeeds.
	ListsKey = "lists"
)

// Workspace is one customer of the operator.
type Workspace struct {
	Name string `json:"-"`
	Plan string `json:"plan"`
}

// Limit is a fleet-wide rate limit with its burst.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests accepted at once after an idle period.
	Burst float64 `json:"burst"`
}

// Plan defines which services a workspace may use, and the limit for each.
type Plan struct {
	Name     string           `json:"-"`
	Services map[string]Limit `json:"services"`
}

// Route maps a path prefix to a service.
type Route struct {
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent overrides the idempotency of the request method (RFC 9110,
	// section 9.2.2), for example for a search by POST. If nil, the method
	// decides.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string `json:"-"`
	// Floor is the minimum number of backend servers that must stay in use.
	Floor int `json:"floor"`
	// Timeout bounds a request from its arrival to the end of its response.
	Timeout Duration `json:"timeout"`
	Routes  []Route  `json:"routes"`
	// Probe is the path of the GET requests that probe ejected backend
	// servers. The request must be safe to send at any time and should
	// exercise a small part of the server's real work. If empty, the prefix
	// of the first route is used.
	Probe string `json:"probe,omitempty"`
}

// ProbePath returns the path that probes request.
func (s Service) ProbePath() string {
	if s.Probe != "" || len(s.Routes) == 0 {
		return s.Probe
	}
	return s.Routes[0].Prefix
}

// ListsVersion is the value of the row ListsKey.
type ListsVersion struct {
	// Version is incremented with every accepted pair of lists.
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the lists as applied, in hex.
	Digest string `json:"digest"`
}

// APIKey is the row of an issued API key. Only the key's hash is stored, as part
// of the row key.
type APIKey struct {
	Workspace string `json:"workspace"`
	// Label lets operators distinguish the API keys of a workspace.
	Label string `json:"label,omitempty"`
}

// KeyHash is the SHA-256 of an API key. API keys are stored and compared by
// their hash only.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in hex, as it appears in the row key.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// Shard is the row of one shard of workspaces. It records which instances hold
// how many parts of the workspaces' limits, at most PartsPerShard in total.
type Shard struct {
	Holders []Holder `json:"holders"`
}

// PartsPerShard is the number of parts that a limit is divided into.
const PartsPerShard = 60

// Holder is an instance that holds parts of a shard.
type Holder struct {
	Instance string `json:"instance"`
	Parts    int    `json:"parts"`
	// Since is the table revision that was the precondition of the write
	// that last increased Parts. It is different for each such write, and 0 for
	// the write of the shard's first row.
	Since uint64 `json:"since"`
}

// Permits is the row that lists the ejected backend servers of a service.
type Permits struct {
	Ejected []Ejection `json:"ejected"`
}

// Ejection permits all instances to keep a backend server out of use.
type Ejection struct {
	Server string `json:"server"`
	// By is the instance that requested the ejection.
	By string `json:"by"`
	// Reason explains the ejection to operators.
	Reason string `json:"reason"`
}

// Witnesses is the row that names the witnesses.
type Witnesses struct {
	// Members are the current witnesses.
	Members []string `json:"members"`
	// Previous are the witnesses before a change that is still in progress.
	// While it is set, a quorum needs a majority of both Members and
	// Previous.
	Previous []string `json:"previous,omitempty"`
}

// Unadvertised is the value of the row UnadvertisedKey.
type Unadvertised struct {
	Instances []string `json:"instances"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
