// Package logging provides a non-blocking log writer and a rate limiter for log
// lines.
//
// Lines are collected in a buffer of bounded size and written in batches by a
// separate goroutine. While the output blocks, the buffer fills up and further
// lines are dropped and counted.
package logging

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// flushInterval is how long a line may wait to be batched with later ones.
	flushInterval = 200 * time.Millisecond
	// maxBufferedBytes bounds the buffer. It holds several seconds of lines at
	// the usual limit of 150 lines per second.
	maxBufferedBytes = 256 << 10
)

// Writer buffers lines for an output. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	dropped uint64
	wake    chan struct{}
}

// NewWriter returns a Writer for out. Lines are written while Serve runs.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write buffers a line. It neither waits for the output nor returns an error; a
// line that does not fit into the buffer is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
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

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Serve writes buffered lines until ctx is done, then flushes the rest.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.Flush()
			return ctx.Err()
		}
		select {
		case <-time.After(flushInterval):
		case <-ctx.Done():
		}
		w.Flush()
	}
}

// Flush writes the buffered lines. Write errors are ignored, as there is no other
// output to report them to.
func (w *Writer) Flush() {
	w.mu.Lock()
	b := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(b) > 0 {
		_, _ = w.out.Write(b)
	}
}

// RateLimiter limits the log lines per second. It is safe for concurrent use.
type RateLimiter struct {
	mu           sync.Mutex
	maxPerSecond int
	second       int64
	used         int
	suppressed   uint64
}

// NewRateLimiter returns a limiter of maxPerSecond lines per second.
func NewRateLimiter(maxPerSecond int) *RateLimiter { return &RateLimiter{maxPerSecond: maxPerSecond} }

// Allow reports whether a line may be written at time now. The line may use only
// the given share of the limit: a share of 0.5 reserves the other half for more
// important lines.
func (l *RateLimiter) Allow(now time.Duration, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := int64(now / time.Second); s != l.second {
		l.second = s
		l.used = 0
	}
	if float64(l.used) >= float64(l.maxPerSecond)*share {
		l.suppressed++
		return false
	}
	l.used++
	return true
}

// Suppressed returns the number of lines that Allow has rejected.
func (l *RateLimiter) Suppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}
