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

// stuck is an output whose reader stands still.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Whoever collects the logs stands still. Requests must go on as before; what
// doesn't fit is dropped and counted.
func TestLinesNeverHoldUpWork(t *testing.T) {
	out := stuck{make(chan struct{})}
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

func TestLinesAreWrittenAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	w := logging.NewWriter(&out)
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	w.Flush()
	must.Eq(t, "one\ntwo\n", out.String())
}

func TestBudgetKeepsRoomForWhatMatters(t *testing.T) {
	b := logging.NewRateLimiter(10)
	usual := 0
	for range 20 {
		if b.Allow(time.Second, 0.5) {
			usual++
		}
	}
	must.Eq(t, 5, usual)
	failures := 0
	for range 20 {
		if b.Allow(time.Second, 1) {
			failures++
		}
	}
	must.Eq(t, 5, failures)
	must.Eq(t, 30, b.Suppressed())
	must.True(t, b.Allow(2*time.Second, 0.5))
}
