package memory

import "sync"

const (
	// headShare is the part of the machine's memory that the heads of requests may take. The garbage
	// collector may need as much again.
	headShare = 1.0 / 16
	// unknownHeadBytes bounds the heads on a machine of unknown size.
	unknownHeadBytes = 8 << 20
	// SmallHeadBytes is the size up to which a head counts as small: with some fifty lines.
	SmallHeadBytes = 16 << 10
	// longHeadShare is the part of the limit that long heads may take. The rest is left to small ones,
	// so that ordinary callers are served beside those that send long heads.
	longHeadShare = 0.75
)

// Heads accounts for the memory of the heads of requests. It is safe for concurrent use.
type Heads struct {
	limit int64

	mu      sync.Mutex
	held    int64
	refused uint64
}

// NewHeads returns an account without a head for a machine with the given memory, 0 if unknown.
func NewHeads(machineBytes int64) *Heads {
	if machineBytes <= 0 {
		return NewHeadsWithin(unknownHeadBytes)
	}
	return NewHeadsWithin(int64(headShare * float64(machineBytes)))
}

// NewHeadsWithin returns an account with the given limit.
func NewHeadsWithin(limitBytes int64) *Heads { return &Heads{limit: limitBytes} }

// Reserve adds the n bytes of a head, unless they don't fit.
func (h *Heads) Reserve(n int) bool {
	limit := h.limit
	if n > SmallHeadBytes {
		limit = int64(longHeadShare * float64(limit))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held+int64(n) > limit {
		h.refused++
		return false
	}
	h.held += int64(n)
	return true
}

// Release takes off what Reserve has added.
func (h *Heads) Release(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held -= int64(n); h.held < 0 {
		panic("memory: released bytes of heads that weren't reserved")
	}
}

// Held returns the bytes of the heads.
func (h *Heads) Held() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held
}

// Refused returns the number of calls of Reserve that were refused.
func (h *Heads) Refused() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused
}

// LimitBytes returns the limit.
func (h *Heads) LimitBytes() int64 { return h.limit }
