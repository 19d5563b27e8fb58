package node

import (
	"time"

	"foxtailspoke/balance"
	"foxtailspoke/claim"
	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
	"foxtailspoke/retry"
	"foxtailspoke/storage"
)

// Settings configures a node. DefaultSettings sets all fields but Self, Secret
// and Seed, and Membership, whose defaults are filled in by membership.New.
type Settings struct {
	// Self is the instance as the platform lists it. Its ID changes with every
	// start.
	Self storage.Instance
	// Secret signs operation keys. It is random and changes with every start.
	Secret []byte
	// Seed is the seed of the node's random choices.
	Seed uint64

	// Shards is the number of workspace shards. It must be the same on every
	// instance of the fleet.
	Shards int
	// MaxHolders is the maximum number of holders of a shard.
	MaxHolders int
	// MaxRequests is the maximum number of requests in progress.
	MaxRequests int
	// MaxConnections is the maximum number of entry instances that connect to one
	// backend server.
	MaxConnections int
	// LocateAddresses is the number of addresses in an answer to locate.
	LocateAddresses int
	// LocateTTL is how long callers may cache an answer to locate.
	LocateTTL time.Duration
	// DefaultTimeout applies to requests to services that define no timeout.
	DefaultTimeout time.Duration
	// ShardWriteGap is the minimum time between two shard writes of this instance,
	// so that the loss of a data centre doesn't overload the table.
	ShardWriteGap time.Duration
	// ShardStagger is how long the second-ranked writer of a shard waits for the
	// first.
	ShardStagger time.Duration
	// HousekeepEvery is the interval of health reports, ejection proposals and
	// probes.
	HousekeepEvery time.Duration

	Membership membership.Settings
	Quota      quota.Settings
	Claim      claim.Settings
	Claimer    claim.ClaimerSettings
	Health     health.Settings
	Balance    balance.Settings
	Retry      retry.Settings
}

// DefaultSettings returns settings that suit both current deployments.
func DefaultSettings() Settings {
	return Settings{
		Shards:          64,
		MaxHolders:      6,
		MaxRequests:     2000,
		MaxConnections:  300,
		LocateAddresses: 4,
		LocateTTL:       30 * time.Second,
		DefaultTimeout:  10 * time.Second,
		ShardWriteGap:   20 * time.Millisecond,
		ShardStagger:    3 * time.Second,
		HousekeepEvery:  250 * time.Millisecond,
		Quota:           quota.DefaultSettings(),
		Claim:           claim.DefaultSettings(),
		Claimer:         claim.DefaultClaimerSettings(),
		Health:          health.DefaultSettings(),
		Balance:         balance.DefaultSettings(),
		Retry:           retry.DefaultSettings(),
	}
}
