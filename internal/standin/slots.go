package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var errQueueFull = errors.New("slots and queue are full")

// maxLoadSamples limits the load samples kept and thereby the largest ReportLag
// that is effective.
const maxLoadSamples = 4096

// Load is the load of a backend server as it reports it.
type Load struct {
	Slots    int `json:"slots"`
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
}

// slotPool limits the number of requests executed concurrently and the number of
// requests waiting.
type slotPool struct {
	// inUse has an element for each slot in use.
	inUse     chan struct{}
	queueSize int
	now       func() time.Duration

	mu      sync.Mutex
	load    Load
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load Load
}

func newSlotPool(size, queueSize int, now func() time.Duration) *slotPool {
	return &slotPool{
		inUse:     make(chan struct{}, size),
		queueSize: queueSize,
		now:       now,
		load:      Load{Slots: size},
	}
}

// acquire takes a slot, waiting in the queue if none is free. It fails with
// errFull if the queue is full, or with the error of ctx.
func (p *slotPool) acquire(ctx context.Context) error {
	select {
	case p.inUse <- struct{}{}:
		p.updateLoad(func(l *Load) { l.InFlight++ })
		return nil
	default:
	}
	if !p.enqueue() {
		return errQueueFull
	}
	select {
	case p.inUse <- struct{}{}:
		p.updateLoad(func(l *Load) { l.Queued--; l.InFlight++ })
		return nil
	case <-ctx.Done():
		p.updateLoad(func(l *Load) { l.Queued-- })
		return ctx.Err()
	}
}

func (p *slotPool) release() {
	p.updateLoad(func(l *Load) { l.InFlight-- })
	<-p.inUse
}

func (p *slotPool) enqueue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.load.Queued >= p.queueSize {
		return false
	}
	p.load.Queued++
	p.recordSample()
	return true
}

func (p *slotPool) updateLoad(update func(*Load)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.load)
	p.recordSample()
}

func (p *slotPool) recordSample() {
	if len(p.samples) >= maxLoadSamples {
		p.samples = append(p.samples[:0], p.samples[maxLoadSamples/2:]...)
	}
	p.samples = append(p.samples, loadSample{p.now(), p.load})
}

// loadAt returns the load at a time. If no sample is that old, the load is zero.
func (p *slotPool) loadAt(at time.Duration) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.samples) - 1; i >= 0; i-- {
		if p.samples[i].at <= at {
			return p.samples[i].load
		}
	}
	return Load{Slots: p.load.Slots}
}
