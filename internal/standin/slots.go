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

// slotPool bounds the requests that are worked on and those that wait.
type slotPool struct {
	held  chan struct{}
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

func newSlotPool(size, queue int, now func() time.Duration) *slotPool {
	return &slotPool{
		held:  make(chan struct{}, size),
		queue: queue,
		now:   now,
		load:  Load{Slots: size},
	}
}

// acquire takes a slot, if need be after a wait in the queue. It fails with
// errFull at once, or with the context's error.
func (s *slotPool) acquire(ctx context.Context) error {
	select {
	case s.held <- struct{}{}:
		s.updateLoad(func(l *Load) { l.InFlight++ })
		return nil
	default:
	}
	if !s.enqueue() {
		return errFull
	}
	select {
	case s.held <- struct{}{}:
		s.updateLoad(func(l *Load) { l.Queued--; l.InFlight++ })
		return nil
	case <-ctx.Done():
		s.updateLoad(func(l *Load) { l.Queued-- })
		return ctx.Err()
	}
}

func (s *slotPool) release() {
	s.updateLoad(func(l *Load) { l.InFlight-- })
	<-s.held
}

func (s *slotPool) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.Queued >= s.queue {
		return false
	}
	s.load.Queued++
	s.recordSample()
	return true
}

func (s *slotPool) updateLoad(update func(*Load)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.load)
	s.recordSample()
}

func (s *slotPool) recordSample() {
	if len(s.samples) >= maxLoadSamples {
		s.samples = append(s.samples[:0], s.samples[maxLoadSamples/2:]...)
	}
	s.samples = append(s.samples, loadSample{s.now(), s.load})
}

// loadAt returns the load loadAt a time, as far as it is still known.
func (s *slotPool) loadAt(at time.Duration) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.samples) - 1; i >= 0; i-- {
		if s.samples[i].at <= at {
			return s.samples[i].load
		}
	}
	return Load{Slots: s.load.Slots}
}
