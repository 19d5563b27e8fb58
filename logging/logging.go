// Package logging writes structured lines without ever holding up the work
// that they tell of.
//
// Lines are gathered in a buffer of bounded size and written by a goroutine of
// its own, several in one call. While the reader of the output stands still,
// the buffer fills and further lines are dropped and counted.
package logging

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// flushEvery is how long a line may wait for others to be written with.
	flushEvery = 200 * time.Millisecond
	// maxBuffered bounds the bytes that wait, some seconds of lines at the
	// usual bound of 150 a second.
	maxBuffered = 256 << 10
)

// Writer gathers lines for out. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	dropped uint64
	wake    chan struct{}
}

// NewWriter returns a writer; Serve does the writing.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes in a line. It never blocks and never fails; a line that doesn't
// fit is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBuffered {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is how many lines didn't fit.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Serve writes until the context ends.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		}
		select {
		case <-time.After(flushEvery):
		case <-ctx.Done():
		}
		w.Flush()
	}
}

// Flush writes what waits. An output that fails has nobody left to be told.
func (w *Writer) Flush() {
	w.mu.Lock()
	b := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}

// RateLimiter bounds how many lines a second one kind of event may write.
type RateLimiter struct {
	mu     sync.Mutex
	most   int
	second int64
	used   int
	left   uint64
}

// NewRateLimiter returns a budget of so many lines a second.
func NewRateLimiter(most int) *RateLimiter { return &RateLimiter{most: most} }

// Allow reports whether a line may be written at a moment; weight of the
// budget it may use, so that half leaves the other half to more important
// lines.
func (b *RateLimiter) Allow(now time.Duration, weight float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := int64(now / time.Second); s != b.second {
		b.second = s
		b.used = 0
	}
	if float64(b.used) >= float64(b.most)*weight {
		b.left++
		return false
	}
	b.used++
	return true
}

// Suppressed is how many lines the budget kept back.
func (b *RateLimiter) Suppressed() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}
