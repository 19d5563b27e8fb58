// Package records buffers an instance's decision records and writes them to
// the object store in batches.
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

// Writer buffers decision records in memory and writes them to the object
// store. It is safe for concurrent use.
type Writer struct {
	objects  storage.Objects
	interval time.Duration
	log      *slog.Logger

	mu            sync.Mutex
	buffer        *decision.Buffer
	loggedDropped uint64
}

// New returns a Writer that writes pending batches once per interval.
func New(b *decision.Buffer, o storage.Objects, interval time.Duration, log *slog.Logger) *Writer {
	return &Writer{objects: o, interval: interval, log: log, buffer: b}
}

// Add buffers a record. It performs no I/O.
func (w *Writer) Add(r decision.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer.Add(r)
}

// Search returns the buffered records that match, newest first, and the total
// number of dropped records.
func (w *Writer) Search(q decision.Query) (found []decision.Record, dropped uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Search(q), w.buffer.Dropped()
}

// Serve writes batches until ctx is done. It implements suture.Service.
// Records that are still pending then are written by Flush.
func (w *Writer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes all pending records until ctx is done.
func (w *Writer) Flush(ctx context.Context) { w.flush(ctx) }

func (w *Writer) flush(ctx context.Context) {
	for ctx.Err() == nil && w.storeNext(ctx) {
	}
	w.logDropped()
}

// storeNext stores one batch. It returns false if there is none or if the
// write to the object store failed; the same batch is then retried later. The
// batch is encoded outside the lock because encoding takes milliseconds and
// Add is called on the event loop's goroutine.
func (w *Writer) storeNext(ctx context.Context) bool {
	unencoded, ok := w.nextBatch()
	if !ok {
		return false
	}
	batch, err := unencoded.Encode()
	if err != nil {
		w.withLock(func() { w.buffer.Discard(unencoded.Name) })
		return true
	}
	if w.objects.Put(ctx, batch.Name, batch.Data) != nil {
		return false
	}
	w.withLock(func() { w.buffer.MarkStored(batch.Name) })
	return true
}

func (w *Writer) nextBatch() (decision.UnencodedBatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.NextBatch()
}

func (w *Writer) withLock(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *Writer) logDropped() {
	w.mu.Lock()
	total := w.buffer.Dropped()
	newlyDropped := total - w.loggedDropped
	w.loggedDropped = total
	w.mu.Unlock()
	if newlyDropped > 0 {
		event.RecordsDropped.Log(w.log, slog.Uint64("count", newlyDropped))
	}
}
