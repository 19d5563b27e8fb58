// Package records keeps an instance's decision records and writes them to the
// object store in batches.
package records

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"foxtailspoke/decision"
	"foxtailspoke/event"
	"foxtailspoke/platform"
)

// Keeper is the instance's buffer of records with its way to the store.
type Keeper struct {
	objects platform.Objects
	every   time.Duration
	log     *slog.Logger

	mu      sync.Mutex
	buffer  *decision.Buffer
	dropped uint64
}

// New returns a Keeper that writes a batch at most as often as every.
func New(b *decision.Buffer, o platform.Objects, every time.Duration, log *slog.Logger) *Keeper {
	return &Keeper{objects: o, every: every, log: log, buffer: b}
}

// Add takes a record. It doesn't block.
func (k *Keeper) Add(r decision.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buffer.Add(r)
}

// Search returns the records in memory that match, newest first.
func (k *Keeper) Search(q decision.Query) (found []decision.Record, dropped uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buffer.Search(q), k.buffer.Dropped()
}

// Serve writes batches until ctx ends, and what is left once more then. It
// implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(k.every)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.flush(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes what no batch holds yet, within the context's time.
func (k *Keeper) Flush(ctx context.Context) { k.flush(ctx) }

func (k *Keeper) flush(ctx context.Context) {
	for ctx.Err() == nil {
		batch, ok := k.next()
		if !ok || k.objects.Put(ctx, batch.Name, batch.Data) != nil {
			break
		}
		k.mu.Lock()
		k.buffer.Stored(batch.Name)
		k.mu.Unlock()
	}
	k.noteDropped()
}

func (k *Keeper) next() (decision.Batch, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buffer.Batch()
}

func (k *Keeper) noteDropped() {
	k.mu.Lock()
	total := k.buffer.Dropped()
	fresh := total - k.dropped
	k.dropped = total
	k.mu.Unlock()
	if fresh > 0 {
		event.RecordsDropped.Log(k.log, slog.Uint64("count", fresh))
	}
}
