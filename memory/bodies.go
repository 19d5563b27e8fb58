package memory

import (
	"slices"
	"time"
)

// bodies has the sizes of the bodies of ReportedBytes or more that an instance has at a server.
type bodies []int64

// change adds a body of n bytes, or removes one of -n bytes.
func (b bodies) change(n int64) bodies {
	switch {
	case n >= ReportedBytes:
		return append(b, n)
	case n <= -ReportedBytes:
		return b.remove(-n)
	}
	return b
}

// remove removes the body whose size is closest to n. One that is longer by ReportedBytes or more
// stands for several whose messages were lost, of which the others remain.
func (b bodies) remove(n int64) bodies {
	if len(b) == 0 {
		return b
	}
	closest := 0
	for i := range b {
		if distance(b[i], n) < distance(b[closest], n) {
			closest = i
		}
	}
	if rest := b[closest] - n; rest >= ReportedBytes {
		b[closest] = rest
		return b
	}
	return slices.Delete(b, closest, closest+1)
}

// trim removes bodies whose ends were lost: all together have no more than the given bytes, apart
// from the rounding of reports.
func (b bodies) trim(bytes int64) bodies {
	for len(b) > 0 {
		excess := -bytes
		for _, n := range b {
			excess += n
		}
		if excess < ReportedBytes {
			break
		}
		b = b.remove(excess)
	}
	return b
}

// longest returns the size of the longest body, 0 if there is none.
func (b bodies) longest() int64 {
	if len(b) == 0 {
		return 0
	}
	return slices.Max(b)
}

func distance(a, b int64) int64 { return max(a-b, b-a) }

// ChangeBody records that an instance has sent a body of n bytes to a server, or that its attempt
// with one of -n bytes has ended.
func (s *Servers) ChangeBody(id, instance uint32, n int64) {
	v, known := s.servers[id]
	if !known {
		if n < ReportedBytes {
			return
		}
		v = s.add(id)
	}
	v.bodies[instance] = v.bodies[instance].change(n)
}

// Bodies returns the number of bodies of ReportedBytes or more that an instance has at a server.
func (s *Servers) Bodies(id, instance uint32) int {
	v, known := s.servers[id]
	if !known {
		return 0
	}
	return len(v.bodies[instance])
}

// SetReported records what another instance reports to have outstanding at a server: bytes, and the
// number of its requests of any size. Each start or end of an attempt is reported, so that the
// difference between two reports is the body of one; several whose messages were lost count as one.
func (s *Servers) SetReported(id, instance uint32, bytes int64, requests int, now time.Duration) {
	v, known := s.servers[id]
	if !known {
		if bytes == 0 {
			return
		}
		v = s.add(id)
	}
	b, last := v.bodies[instance], v.reports[instance].bytes
	switch {
	case bytes == 0:
		b = nil
	case requests == 1:
		b = bodies{bytes}
	case last == 0 && bytes >= 2*ReportedBytes:
		b = bodies{bytes}
	case last == 0:
		// Small bodies that weren't reported before may have reached ReportedBytes together.
		b = nil
	default:
		b = b.change(bytes - last).trim(bytes)
	}
	v.bodies[instance] = b
	s.Set(id, instance, bytes, len(b), now)
}
