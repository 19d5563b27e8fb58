// Package claim keeps a non-idempotent request from running twice when its
// caller repeats it, at the same or at another entry instance.
//
// There are two kinds of keys.
//
// An operation key is minted by an entry instance (Minter) and carries that
// instance's id. Only its minter ever runs it; the others forward a request
// with it there. It needs no write to the platform and works while the
// platform is away. When the minter is gone, nobody can know whether the
// operation ran, and the answer says so; it is never run a second time.
//
// A key that the caller made has a row in the claims table (Claimer),
// inserted before the request is sent to a backend server. It outlives
// instances, but costs two writes a request and is refused while the platform
// is away.
//
// A Decision says Run at most once per operation. The one exception is an
// operation that ended as NotRun, which means proved: no connection was made,
// no byte was written, or the backend server itself said so.
package claim
