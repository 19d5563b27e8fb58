package logging_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/logging"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// The log collector may stop reading, which blocks the output. Writers must not
// block; lines that do not fit into the buffer are dropped and counted.
func TestWriteDoesNotBlock(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := logging.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Serve(ctx) }()
	line := []byte(strings.Repeat("x", 1000))
	start := time.Now()
	for range 2000 {
		n, err := w.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Less(t, time.Second, time.Since(start))
	must.Positive(t, w.Dropped())
	close(out.release)
	cancel()
	must.ErrorIs(t, <-done, context.Canceled)
}

func TestFlushWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Flush()
	must.Eq(t, "one\ntwo\n", out.String())
}

func TestRateLimiterReservesShare(t *testing.T) {
	l := logging.NewRateLimiter(10)
	routine := 0
	for range 20 {
		if l.Allow(time.Second, 0.5) {
			routine++
		}
	}
	must.Eq(t, 5, routine)
	failures := 0
	for range 20 {
		if l.Allow(time.Second, 1) {
			failures++
		}
	}
	must.Eq(t, 5, failures)
	must.Eq(t, 30, l.Suppressed())
	must.True(t, l.Allow(2*time.Second, 0.5))
}
