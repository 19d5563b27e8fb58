package membership

import (
	"time"

	"foxtailspoke/storage"
)

// Request is a call from one Member to another; one field is set. A struct
// with one field per message keeps the encoding by encoding/gob short.
type Request struct {
	Pull    *Pull
	Witness *Witness
}

// Reply answers a Request; the same field is set. None is set when the other
// side doesn't understand the request.
type Reply struct {
	Pull    *Pulled
	Witness *Witnessed
}

// Pull asks for what changed, and for the proof that nothing else did.
type Pull struct {
	// Since is the revision that the caller has.
	Since storage.Revision
	// ListSince is the version of the instance list that the caller has.
	ListSince uint64
}

// Pulled answers a Pull.
type Pulled struct {
	Changes storage.Changes
	List    storage.InstanceChanges
	// TableAge is the age of the answering side's proof by the table at the
	// time of the answer; 0 if it has none within Fresh.
	TableAge time.Duration
	// WitnessAge is the same for a proof by the witnesses.
	WitnessAge time.Duration
}

// Witness asks a witness which revision it knows.
type Witness struct {
	// Revision that the caller has.
	Revision storage.Revision
	// Offer holds the changes after Since that the witness was found to
	// lack; nil if there is nothing to offer.
	Offer *storage.Changes
	Since storage.Revision
}

// Witnessed answers a Witness.
type Witnessed struct {
	// Revision that the answering side knows, which is what its replica has.
	Revision storage.Revision
	// Seated says that its replica names it as a witness. The answer of an
	// instance that doesn't know of its seat isn't counted.
	Seated bool
}
