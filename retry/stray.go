package retry

import (
	"slices"
	"time"
)

// maxStrayRetries bounds the memory for retries of which the service isn't known yet.
const maxStrayRetries = 1000

// StrayRetries holds retries that reached a server of another service than they were meant
// for, until it is known of which. The limit applies to the service at which a retry
// arrives.
type StrayRetries struct{ retries []strayRetry }

type strayRetry struct {
	address string
	// meant is the service that the retry was meant for.
	meant uint32
	at    time.Duration
}

// Add records a retry that the server at an address rejected as not meant for it.
func (s *StrayRetries) Add(address string, meant uint32, now time.Duration) {
	s.dropBefore(now - window)
	if len(s.retries) < maxStrayRetries {
		s.retries = append(s.retries, strayRetry{address, meant, now})
	}
}

// Take removes the retries that reached an address, now known to be that of a server of the
// given service, and returns how many of them weren't meant for it.
func (s *StrayRetries) Take(address string, service uint32, now time.Duration) (count int) {
	s.dropBefore(now - window)
	s.retries = slices.DeleteFunc(s.retries, func(r strayRetry) bool {
		if r.address != address {
			return false
		}
		if r.meant != service {
			count++
		}
		return true
	})
	return count
}

func (s *StrayRetries) dropBefore(start time.Duration) {
	s.retries = slices.DeleteFunc(s.retries, func(r strayRetry) bool { return r.at < start })
}
