package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The first sources of a configuration don't answer. Guards against waiting for the time-out of
// each in turn, by which a change comes into force too late.
func TestSourcesWithoutAnswerDelayAFetchLittle(t *testing.T) {
	var complete atomic.Bool
	silent := func(ctx context.Context) { sleepContext(ctx, 10*time.Second) }
	answers := func(context.Context) { complete.Store(true) }
	begin := time.Now()
	must.True(t, new(Edge).fetchStaggered(context.Background(), []fetch{silent, silent, silent, answers}, complete.Load))
	must.Less(t, 5*fetchStagger, time.Since(begin))
}

// Guards against discarding an answer that comes after the next source was asked.
func TestLateAnswerCompletesAFetch(t *testing.T) {
	var complete atomic.Bool
	late := func(context.Context) {
		time.Sleep(3 * fetchStagger)
		complete.Store(true)
	}
	fails := func(context.Context) {}
	must.True(t, new(Edge).fetchStaggered(context.Background(), []fetch{late, fails}, complete.Load))
}

// Guards against a fetch that goes on after all sources have failed.
func TestFetchEndsOnceAllSourcesHaveFailed(t *testing.T) {
	fails := func(context.Context) {}
	must.False(t, new(Edge).fetchStaggered(context.Background(), []fetch{fails, fails}, func() bool { return false }))
}

// Most instances of a data centre have just started. Guards against taking one of them, which has no
// data yet, for a reader before one that is ready.
func TestReadyInstancesAreReadersFirst(t *testing.T) {
	e := newIdleInstance(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := uint32(1); id <= 40; id++ {
		m := e.state.messenger.Fleet().GetOrAdd(id, e.now())
		m.ID, m.DataCentre, m.Alive, m.Leaving = id, e.settings.DataCentre, true, id > 2
	}
	must.SliceContainsAll(t, []uint32{1, 2}, e.readers())
}
