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
	"foxtailspoke/storage"
)

// Writer is the instance's buffer of records with its way to the store.
type Writer struct {
	objects storage.Objects
	every   time.Duration
	log     *slog.Logger

	mu      sync.Mutex
	buffer  *decision.Buffer
	dropped uint64
}

// New returns a Keeper that writes a batch at most as often as every.
func New(b *decision.Buffer, o storage.Objects, every time.Duration, log *slog.Logger) *Writer {
	return &Writer{objects: o, every: every, log: log, buffer: b}
}

// Add takes a record. It doesn't block.
func (k *Writer) Add(r decision.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.buffer.Add(r)
}

// Search returns the records in memory that match, newest first.
func (k *Writer) Search(q decision.Query) (found []decision.Record, dropped uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buffer.Search(q), k.buffer.Dropped()
}

// Serve writes batches until ctx ends. It implements suture.Service. What is
// left then is for Flush.
func (k *Writer) Serve(ctx context.Context) error {
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
func (k *Writer) Flush(ctx context.Context) { k.flush(ctx) }

func (k *Writer) flush(ctx context.Context) {
	for ctx.Err() == nil && k.storeNext(ctx) {
	}
	k.noteDropped()
}

// storeNext stores one batch. It returns false if there is none, or if the
// object store didn't take it; the same batch is then tried again later. The
// batch is encoded outside the lock: that takes milliseconds, and Add is
// called on the loop's goroutine.
func (k *Writer) storeNext(ctx context.Context) bool {
	cut, ok := k.take()
	if !ok {
		return false
	}
	batch, err := cut.Encode()
	if err != nil {
		k.settle(func() { k.buffer.Discard(cut.Name) })
		return true
	}
	if k.objects.Put(ctx, batch.Name, batch.Data) != nil {
		return false
	}
	k.settle(func() { k.buffer.MarkStored(batch.Name) })
	return true
}

func (k *Writer) take() (decision.UnencodedBatch, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.buffer.NextBatch()
}

func (k *Writer) settle(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

func (k *Writer) noteDropped() {
	k.mu.Lock()
	total := k.buffer.Dropped()
	fresh := total - k.dropped
	k.dropped = total
	k.mu.Unlock()
	if fresh > 0 {
		event.RecordsDropped.Log(k.log, slog.Uint64("count", fresh))
	}
}
