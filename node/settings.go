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

// Settings of a node. DefaultSettings fills in all but Self and Secret.
type Settings struct {
	// Self is the instance as the platform lists it. Its ID is new with
	// every start.
	Self storage.Instance
	// Secret signs operation keys. It is random and new with every start.
	Secret []byte
	// Seed of the node's random choices.
	Seed uint64

	// Shards is the number of shards of workspaces, the same on every
	// instance of the fleet.
	Shards int
	// MaxHolders bounds the holders of a shard.
	MaxHolders int
	// MaxRequests bounds the requests in progress.
	MaxRequests int
	// MaxConnections bounds the entry instances that connect to one backend
	// server.
	MaxConnections int
	// LocateAddresses is how many addresses an answer to locate names.
	LocateAddresses int
	// LocateTTL is how long callers may keep the answer.
	LocateTTL time.Duration
	// DefaultTimeout bounds requests to services that name no timeout.
	DefaultTimeout time.Duration
	// ShardWriteGap is the least time between two shard writes of this
	// instance, so that the loss of a data centre doesn't flood the table.
	ShardWriteGap time.Duration
	// ShardStagger is how long the second instance in line for a shard waits
	// for the first.
	ShardStagger time.Duration
	// HousekeepEvery is the time between reports, proposals and probes.
	HousekeepEvery time.Duration

	Membership membership.Settings
	Quota      quota.Settings
	Claim      claim.Settings
	Claimer    claim.ClaimerSettings
	Health     health.Settings
	Balance    balance.Settings
	Retry      retry.Settings
}

// DefaultSettings returns the settings that suit both deployments of today.
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
