package storage

import "context"

// Kind distinguishes entry instances from backend servers.
type Kind string

const (
	// Entry is an instance of foxtailspoke itself.
	Entry Kind = "entry"
	// BackendServer is a server of one service.
	BackendServer Kind = "backend"
)

// State is an instance's lifecycle state in the platform's registry, which is
// eventually consistent.
type State string

const (
	// Live instances are running, as far as the platform knows.
	Live State = "live"
	// Leaving instances finish their requests and accept no new ones.
	Leaving State = "leaving"
	// Ended instances have stopped; the state is final.
	Ended State = "ended"
)

// Instance is one process or backend server in the platform's registry.
type Instance struct {
	// ID is a UUID that is generated anew on every start.
	ID   string
	Kind Kind
	// Service that a backend server belongs to; empty for an entry instance.
	Service    string
	DataCentre string
	Region     string
	// Address is the "ip:port" for requests; on an entry instance, for requests
	// from callers.
	Address string
	// PeerAddress is the "ip:port" for calls from other entry instances.
	PeerAddress string
	// OperatorAddress is the "ip:port" for calls from operators.
	OperatorAddress string
	// Slots is the number of requests that a backend server processes
	// concurrently.
	Slots int
	State State
}

// InstanceChanges holds the instances that changed after a given version.
type InstanceChanges struct {
	// Version of the list, incremented with every change.
	Version uint64
	Changed []Instance
	// Full means that Changed is the whole list.
	Full bool
}

// Instances is the platform's instance registry.
type Instances interface {
	// List returns the instances that changed after version since; 0 reads all.
	List(ctx context.Context, since uint64) (InstanceChanges, error)
	// Announce registers an instance or reports its new state.
	Announce(ctx context.Context, i Instance) error
}
