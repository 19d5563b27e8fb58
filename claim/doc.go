// Package claim provides at-most-once execution of non-idempotent requests that
// callers repeat at the same or at another entry instance.
//
// There are two kinds of keys.
//
// An operation key is minted by an entry instance (Minter) and contains that
// instance's id. Only the minter runs it; other instances forward the request
// to the minter. It needs no write to the platform and works while the platform
// is unavailable. Once the minter has ended, no instance can know whether the
// operation ran: the request gets UnknownOutcome and is never run again.
//
// A key supplied by the caller has a row in the claims table (Claimer), inserted
// before the request is sent to a backend server. It outlives instances, but
// costs two writes per request and is refused while the platform is unavailable.
//
// The verdict Run is given at most once per operation. The one exception is an
// operation that ended with NotRun, which requires proof: no connection was
// made, no byte was written, or the backend server itself reported it.
package claim
