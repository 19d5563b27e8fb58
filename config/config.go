// Package config holds what operators configure: the workspaces with their
// plans, the plans with the services that they may use, and the keys. It
// also holds the rows by which instances coordinate (shards, permits,
// witnesses), because all of them live in the platform's control table.
//
// A Replica is one instance's copy of the control table. It is a plain value
// without goroutines or input and output: whoever owns it feeds it changes.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Prefixes of the control table's row keys. What follows is the name.
const (
	WorkspacePrefix = "workspace/"
	PlanPrefix      = "plan/"
	ServicePrefix   = "service/"
	APIKeyPrefix    = "key/"
	ShardPrefix     = "shard/"
	PermitPrefix    = "permit/"
	WitnessesKey    = "witnesses"
	// UnadvertisedKey is the row of the entry instances that callers aren't
	// told of for the time being.
	UnadvertisedKey = "unadvertised"
	// ListsKey is the row that every accepted pair of lists rewrites, so
	// that two operators' changes can't both win.
	ListsKey = "lists"
)

// Workspace is one customer of the operator.
type Workspace struct {
	Name string `json:"-"`
	Plan string `json:"plan"`
}

// Limit is a rate with its burst, over the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come at once after a quiet time.
	Burst float64 `json:"burst"`
}

// Plan says which services a workspace may use, and each one's limit.
type Plan struct {
	Name     string           `json:"-"`
	Services map[string]Limit `json:"services"`
}

// Route maps a path prefix to a service.
type Route struct {
	// Prefix of the path, beginning and ending with a slash.
	Prefix string `json:"prefix"`
	// Idempotent overrides what the method says (RFC 9110, section 9.2.2),
	// for instance for a search by POST. Nil leaves it to the method.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string `json:"-"`
	// Floor is how many backend servers must stay in use whatever happens.
	Floor int `json:"floor"`
	// Timeout bounds one request from arrival to the end of its answer.
	Timeout Duration `json:"timeout"`
	Routes  []Route  `json:"routes"`
	// Probe is the path of a GET that is safe to send at any time and makes
	// a backend server do a little of its real work. Probes of ejected
	// servers ask for it. Empty stands for the first route's prefix.
	Probe string `json:"probe,omitempty"`
}

// ProbePath returns the path that probes ask for.
func (s Service) ProbePath() string {
	if s.Probe != "" || len(s.Routes) == 0 {
		return s.Probe
	}
	return s.Routes[0].Prefix
}

// ListsVersion is the row under ListsKey.
type ListsVersion struct {
	// Version rises by one with every accepted pair of lists.
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the lists as applied, in hex.
	Digest string `json:"digest"`
}

// APIKey is the row of a key that was given. The key itself isn't kept.
type APIKey struct {
	Workspace string `json:"workspace"`
	// Label tells operators the keys of a workspace apart.
	Label string `json:"label,omitempty"`
}

// KeyHash is the SHA-256 of a key. It takes the key's place everywhere.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in hex, as in the row's key.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// Shard is the row of one shard of workspaces: who holds which parts of
// their limits. The parts add up to at most PartsPerShard.
type Shard struct {
	Holders []Holder `json:"holders"`
}

// PartsPerShard is the number of parts that a limit is divided into.
const PartsPerShard = 60

// Holder is an instance that holds parts of a shard.
type Holder struct {
	Instance string `json:"instance"`
	Parts    int    `json:"parts"`
	// Since is the table revision expected before the write that last
	// gave this instance more parts. Different writes have different ones.
	Since uint64 `json:"since"`
}

// Permits is the row of one service's ejected backend servers.
type Permits struct {
	Ejected []Ejection `json:"ejected"`
}

// Ejection is a permit to keep a backend server out of use fleet-wide.
type Ejection struct {
	Server string `json:"server"`
	// By is the instance that asked.
	By string `json:"by"`
	// Reason is a plain sentence for operators.
	Reason string `json:"reason"`
}

// Witnesses is the row that names the witnesses.
type Witnesses struct {
	// Members are the instances that count now.
	Members []string `json:"members"`
	// Previous are the members before a change that isn't finished; while it
	// is set, every majority must be one of Members and of Previous as well.
	Previous []string `json:"previous,omitempty"`
}

// Unadvertised is the row under UnadvertisedKey.
type Unadvertised struct {
	Instances []string `json:"instances"`
}

// Duration is a time.Duration written like "1.5s" in JSON.
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
