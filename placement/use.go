package placement

import (
	"time"

	"foxtailspoke/health"
)

const (
	// useRetention is the time for which an instance's attempts at a server are kept. It
	// covers the longest time to open a connection and the window of idle servers.
	useRetention = 5 * time.Second
	// maxUses is the number of instances above which older attempts at a server are dropped.
	maxUses = 32
	// partitionEvidenceWindow is the time after an answer of a server to any instance within
	// which failed connections of other instances are no evidence against it.
	partitionEvidenceWindow = time.Second
)

// use is the last attempt of an instance at a server.
type use struct {
	at time.Duration
	// unconnected means that the instance's last finished attempt failed to connect, so that
	// its next one is no use of the server until it arrives.
	unconnected bool
}

// recordUse records that an instance begins an attempt. Attempts that don't arrive would make
// servers look used that receive nothing from partitioned instances.
func (s *server) recordUse(instance uint32, now time.Duration) {
	if len(s.uses) >= maxUses {
		s.dropOldUses(now)
	}
	u := s.uses[instance]
	u.at = now
	s.uses[instance] = u
	s.used = true
	if !u.unconnected {
		s.lastUse = now
	}
}

// recordArrival records whether an instance's attempt arrived at the server.
func (s *server) recordArrival(instance uint32, r health.Result) {
	u, known := s.uses[instance]
	if !known {
		return
	}
	switch r {
	case health.ConnectFailed:
		u.unconnected = true
		s.uses[instance] = u
		s.revertLastUse()
	case health.OK, health.ServerError, health.Incomplete, health.Mismatch, health.Shed, health.NotRun:
		u.unconnected = false
		s.uses[instance] = u
		s.lastArrival = max(s.lastArrival, u.at)
		s.lastUse = max(s.lastUse, s.lastArrival)
	case health.Timeout, health.Late, health.Misdirected, health.Cancelled:
	}
}

// revertLastUse derives the last use from the attempts that arrived and those of which it isn't
// known. Only a failed connection takes an attempt back, so that the search is rare.
func (s *server) revertLastUse() {
	s.lastUse = s.lastArrival
	for _, u := range s.uses {
		if !u.unconnected {
			s.lastUse = max(s.lastUse, u.at)
		}
	}
}

func (s *server) dropOldUses(now time.Duration) {
	for i, u := range s.uses {
		if now-u.at > useRetention {
			delete(s.uses, i)
		}
	}
}

// answeredWithin reports whether any instance received an answer from the server within the
// given time.
func (s *server) answeredWithin(window, now time.Duration) bool {
	return s.answered && now-s.lastAnswer <= window
}
