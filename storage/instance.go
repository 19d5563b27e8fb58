package storage

import "context"

// Kind tells entry instances from backend servers.
type Kind string

const (
	// Entry is an instance of foxtailspoke itself.
	Entry Kind = "entry"
	// BackendServer is a server of one service.
	BackendServer Kind = "backend"
)

// State is the platform's view of an instance. It lags.
type State string

const (
	// Live instances run, as far as the platform knows.
	Live State = "live"
	// Leaving instances finish what they have and take nothing new.
	Leaving State = "leaving"
	// Ended instances don't run any more and never will again.
	Ended State = "ended"
)

// Instance is one process or backend server in the platform's list.
type Instance struct {
	// ID is new with every start (an incarnation id, a UUID).
	ID   string
	Kind Kind
	// Service that a backend server belongs to; empty for an entry instance.
	Service    string
	DataCentre string
	Region     string
	// Address takes calls: "ip:port". For an entry instance, from callers.
	Address string
	// PeerAddress takes calls from other entry instances: "ip:port".
	PeerAddress string
	// OperatorAddress takes calls from operators: "ip:port".
	OperatorAddress string
	// Slots is how many requests a backend server works on at the same time.
	Slots int
	State State
}

// InstanceChanges lists the instances that changed after a version.
type InstanceChanges struct {
	// Version of the list; it rises with every change.
	Version uint64
	Changed []Instance
	// Full means that Changed is the whole list.
	Full bool
}

// Instances is the platform's list of instances.
type Instances interface {
	// List returns what changed after version since; 0 reads everything.
	List(ctx context.Context, since uint64) (InstanceChanges, error)
	// Announce registers an instance or reports its new state.
	Announce(ctx context.Context, i Instance) error
}
