// Package effect defines the I/O requests that the decision packages return.
// Those packages do no input or output themselves: the caller carries out each
// effect and passes the result back with the effect's ID.
package effect

import "foxtailspoke/storage"

// Effect is one of Call, ReadTable, WriteTable and ReadInstances.
type Effect interface{ effect() }

// Call sends a request to another entry instance. It ends with a reply, or
// without one after a timeout set by the driver.
type Call struct {
	// ID is unique among the calls of the package that made it.
	ID uint64
	// To is the ID of the instance.
	To string
	// Request is a message type defined by the package that made the call.
	Request any
}

// ReadTable reads the platform's table.
type ReadTable struct {
	ID   uint64
	Read storage.ReadRequest
}

// WriteTable sends one transaction to the platform's table, exactly once. The
// driver must not resend it after an unknown outcome: whether to do so is
// decided by the package that returned the effect.
type WriteTable struct {
	ID  uint64
	Txn storage.Txn
}

// ReadInstances reads the platform's list of instances.
type ReadInstances struct {
	ID    uint64
	Since uint64
}

func (Call) effect()          {}
func (ReadTable) effect()     {}
func (WriteTable) effect()    {}
func (ReadInstances) effect() {}
