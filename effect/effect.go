// Package effect lists what a decision may ask the outside world to do. The
// decisions themselves do no input or output: they return effects, and the
// answer comes back later as a call with the effect's id.
package effect

import "foxtailspoke/storage"

// Effect is one of Call, ReadTable, WriteTable and ReadInstances.
type Effect interface{ effect() }

// Call sends a request to another entry instance. It ends with a reply or
// with none, after a time that the caller of the decision bounds.
type Call struct {
	// ID is unique among the calls of the package that made it.
	ID uint64
	// To is the instance's id.
	To string
	// Request is a message type of the package that made the call.
	Request any
}

// ReadTable reads the platform's table.
type ReadTable struct {
	ID   uint64
	Read storage.ReadRequest
}

// WriteTable sends one transaction to the platform's table, once. Sending
// it again after an unknown outcome is a decision, not the driver's habit.
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
