package membership

import (
	"time"

	"foxtailspoke/storage"
)

// Request is a call from one Member to another; exactly one field is set. A
// struct with one field per message keeps the encoding/gob form short.
type Request struct {
	Pull    *Pull
	Witness *Witness
}

// Reply answers a Request; the same field is set. No field is set if the
// receiver does not understand the request.
type Reply struct {
	Pull    *Pulled
	Witness *Witnessed
}

// Pull requests the changes since the revisions that the caller has, and the
// proofs that the receiver holds for its revision.
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
	// TableAge is the age of the receiver's proof by the table at the time of
	// the answer; 0 if it has none within Fresh.
	TableAge time.Duration
	// WitnessAge is the corresponding age of a proof by the witnesses.
	WitnessAge time.Duration
}

// Witness asks a witness which revision it knows.
type Witness struct {
	// Revision is the revision that the caller has.
	Revision storage.Revision
	// Offer holds the changes after Since that the witness lacks; nil if
	// none are sent.
	Offer *storage.Changes
	Since storage.Revision
}

// Witnessed answers a Witness.
type Witnessed struct {
	// Revision is the revision of the receiver's replica.
	Revision storage.Revision
	// Seated reports whether the receiver's replica lists it as a witness. The
	// answer of an instance that does not know that it is a witness does not
	// count.
	Seated bool
}
