// Package memory accounts for the bytes that an instance holds for callers and servers, and
// decides which bodies it accepts.
//
// Load pattern: callers that read slowly or not at all, and long bodies in both directions, on
// machines whose memory holds some ten of the longest bodies. Many of them may belong to one
// workspace.
//
// Approach: all long bodies share one limit, a part of the machine's memory. A body is accepted
// if its declared length fits, before any of it is read; one of unknown length as it grows.
// Requests can't use the last part of it, because a response that doesn't fit may be the result of
// a request that was run. While other workspaces need memory, a workspace is held to half of it, of
// which its requests can't use the last part either.
//
// Trade-off: a workspace that has taken more than its half while it was alone keeps that until
// its bodies are done, so that others wait for at most that long. Small bodies of requests are
// accepted until all take one and a half times the limit, small responses always.
//
// The package does no I/O and reads no clock: time is passed in.
package memory

import "time"

const (
	// SmallBodyBytes is the size up to which responses are always accepted, and requests far beyond the
	// limit of the others.
	SmallBodyBytes = 64 << 10
	// limitShare is the part of the machine's memory that bodies may take: the garbage
	// collector may need as much again, and the rest of the process and the kernel's buffers
	// need the other half.
	limitShare = 0.25
	// unknownResponseBytes bounds the response bodies on a machine of unknown size: the
	// smallest have 136 MB.
	unknownResponseBytes = 32 << 20
	// requestShare is the part of the limit, and of the half of a workspace, above which no request
	// body is accepted. In TestComparePolicies, 0.0014 of the requests are run and lose their
	// responses with 0.95, none with 0.9 or 0.85. On a machine of 136 MB, 0.85 leaves 5 MB to
	// responses, half of it within the share of a workspace.
	requestShare = 0.85
	// smallRequestShare is the multiple of the limit up to which small bodies of requests are accepted. It
	// leaves room for the smallest while others are refused, and bounds them.
	smallRequestShare = 1.5
	// workspaceShare is the part of the limit that a workspace may hold while others need some.
	workspaceShare = 0.5
	// needRetention is the time for which a workspace counts as needing memory after it was
	// refused some: its caller has tried again by then.
	needRetention = 2 * time.Second
)

// Kind is the kind of a body.
type Kind int

// Kinds of bodies.
const (
	Request Kind = iota
	Response
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"request", "response"}[k] }

// Account holds the bytes of bodies by kind and workspace. It isn't safe for concurrent use.
type Account struct {
	limit int64
	// requestShare and workspaceShare are the constants of these names, other values in
	// comparisons.
	requestShare, workspaceShare float64
	// sizeKnown means that the machine's memory is known.
	sizeKnown  bool
	held       [kindCount]int64
	workspaces map[string]*holding
	refused    uint64
}

// holding is what a workspace holds.
type holding struct {
	bytes int64
	// refusedAt is when it was last refused memory, never if it wasn't.
	refusedAt time.Duration
}

const never = -time.Hour

// NewAccount returns an account without a body for a machine with the given memory, 0 if unknown.
// Then only responses are bounded.
func NewAccount(machineBytes int64) *Account {
	a := &Account{limit: int64(limitShare * float64(machineBytes)), workspaces: make(map[string]*holding)}
	a.requestShare, a.workspaceShare = requestShare, workspaceShare
	if a.sizeKnown = machineBytes > 0; !a.sizeKnown {
		a.limit = unknownResponseBytes
	}
	return a
}

// SizeKnown reports whether the machine's memory is known.
func (a *Account) SizeKnown() bool { return a.sizeKnown }

// LimitBytes returns the limit.
func (a *Account) LimitBytes() int64 { return a.limit }

// Held returns the bytes of the bodies of a kind.
func (a *Account) Held(k Kind) int64 { return a.held[k] }

// Refused returns the number of calls of Reserve that were refused.
func (a *Account) Refused() uint64 { return a.refused }

// Reserve adds n bytes of a body for a workspace, unless they don't fit.
func (a *Account) Reserve(workspace string, k Kind, n int64, now time.Duration) bool {
	a.expire(now)
	h, known := a.workspaces[workspace]
	if !known {
		h = &holding{refusedAt: never}
		a.workspaces[workspace] = h
	}
	if n > SmallBodyBytes && !a.fits(h, k, n) || n <= SmallBodyBytes && !a.fitsSmall(k, n) {
		a.refused++
		h.refusedAt = now
		return false
	}
	a.held[k] += n
	h.bytes += n
	return true
}

// fitsSmall is fits for a small body. Small responses always fit: their requests have run.
func (a *Account) fitsSmall(k Kind, n int64) bool {
	return k == Response || !a.sizeKnown || a.held[Request]+a.held[Response]+n <= int64(smallRequestShare*float64(a.limit))
}

func (a *Account) fits(h *holding, k Kind, n int64) bool {
	if !a.sizeKnown {
		return k == Request || a.held[Response]+n <= a.limit
	}
	limit := a.limit
	if k == Request {
		limit = int64(a.requestShare * float64(limit))
	}
	if a.held[Request]+a.held[Response]+n > limit {
		return false
	}
	return h.bytes+n <= int64(a.workspaceShare*float64(limit)) || !a.needed(h)
}

// needed reports whether another workspace than that of h holds memory or was refused some
// lately. Small bodies are accepted anyway, so that they don't count.
func (a *Account) needed(h *holding) bool {
	for _, other := range a.workspaces {
		if other != h && (other.bytes > SmallBodyBytes || other.refusedAt != never) {
			return true
		}
	}
	return false
}

// expire forgets refusals after needRetention, and workspaces that hold nothing.
func (a *Account) expire(now time.Duration) {
	for name, h := range a.workspaces {
		if h.refusedAt != never && now-h.refusedAt >= needRetention {
			h.refusedAt = never
		}
		if h.bytes == 0 && h.refusedAt == never {
			delete(a.workspaces, name)
		}
	}
}

// Release takes off what Reserve has added.
func (a *Account) Release(workspace string, k Kind, n int64) {
	if n == 0 {
		return
	}
	a.held[k] -= n
	h := a.workspaces[workspace]
	if h == nil || h.bytes < n || a.held[k] < 0 {
		panic("memory: released bytes that weren't reserved")
	}
	h.bytes -= n
}
