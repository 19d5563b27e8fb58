package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errFull = errors.New("slots and queue are full")

// maxLoadSamples bounds what a lagging load report can look back on.
const maxLoadSamples = 4096

// Load is what a backend server reports about its work.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
}

// slots bounds the requests that are worked on and those that wait.
type slots struct {
	free  chan struct{}
	queue int
	now   func() time.Duration

	mu      sync.Mutex
	load    Load
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load Load
}

func newSlots(n, queue int, now func() time.Duration) *slots {
	return &slots{
		free:  make(chan struct{}, n),
		queue: queue,
		now:   now,
		load:  Load{Slots: n},
	}
}

// acquire takes a slot, if need be after a wait in the queue. It fails with
// errFull at once, or with the context's error.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case s.free <- struct{}{}:
		s.change(func(l *Load) { l.InFlight++ })
		return nil
	default:
	}
	if !s.enqueue() {
		return errFull
	}
	select {
	case s.free <- struct{}{}:
		s.change(func(l *Load) { l.Queued--; l.InFlight++ })
		return nil
	case <-ctx.Done():
		s.change(func(l *Load) { l.Queued-- })
		return ctx.Err()
	}
}

func (s *slots) release() {
	s.change(func(l *Load) { l.InFlight-- })
	<-s.free
}

func (s *slots) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.Queued >= s.queue {
		return false
	}
	s.load.Queued++
	s.sample()
	return true
}

func (s *slots) change(f func(*Load)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.load)
	s.sample()
}

func (s *slots) sample() {
	if len(s.samples) >= maxLoadSamples {
		s.samples = append(s.samples[:0], s.samples[maxLoadSamples/2:]...)
	}
	s.samples = append(s.samples, loadSample{s.now(), s.load})
}

// at returns the load at a time, as far as it is still known.
func (s *slots) at(at time.Duration) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.samples) - 1; i >= 0; i-- {
		if s.samples[i].at <= at {
			return s.samples[i].load
		}
	}
	return Load{Slots: s.load.Slots}
}
