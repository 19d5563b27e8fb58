package health

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// Target size of the benchmarks, for one instance: 70 requests per second
// over 560 services with 43 servers each, of which the instance uses 5; 1 in
// 25 attempts is bad.
const (
	benchServices          = 560
	benchServersPerService = 5
	benchRate              = 70
)

func randomObservation(rng *rand.Rand) Observation {
	service := rng.IntN(benchServices)
	ob := Observation{
		Service:   fmt.Sprintf("service-%03d", service),
		Server:    fmt.Sprintf("server-%03d-%d", service, rng.IntN(benchServersPerService)),
		Workspace: fmt.Sprintf("workspace-%05d", rng.IntN(55_000)),
		Latency:   time.Duration(float64(20*time.Millisecond) * (0.5 + rng.ExpFloat64())),
	}
	if rng.IntN(25) == 0 {
		ob.Result = ServerError
	}
	return ob
}

// Guards against evidence that grows without bound under steady traffic: the
// whole control path has 32 MB, of which the observer may use 4 MB.
func TestObserverMemoryBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 5))
	o := NewObserver(DefaultSettings(), rng)
	before := heapBytes()
	bytes, reports := 0, 0
	const seconds = 300
	for i := range seconds * benchRate {
		now := time.Duration(i) * time.Second / benchRate
		o.Observe(now, randomObservation(rng))
		for _, r := range o.DueReports(now) {
			bytes += r.Size()
			reports++
		}
	}
	used := heapBytes() - before
	must.Less(t, 4<<20, used)
	t.Logf("%d KB after %d s; %d reports and %d bytes a second", used>>10, seconds, reports/seconds, bytes/seconds)
	runtime.KeepAlive(o)
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkObserve(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 6))
	o := NewObserver(DefaultSettings(), rng)
	obs := make([]Observation, 4096)
	for i := range obs {
		obs[i] = randomObservation(rng)
	}
	for i := 0; b.Loop(); i++ {
		o.Observe(time.Duration(i)*time.Second/benchRate, obs[i%len(obs)])
	}
}

func BenchmarkWeights(b *testing.B) {
	o := newObserver()
	list := ids(10)
	for i := range 40 {
		o.Observe(0, Observation{Service: "a", Server: list[i%3], Workspace: fmt.Sprint(i % 5), Result: Incomplete})
	}
	for i := 0; b.Loop(); i++ {
		o.Weights(time.Duration(i)*time.Millisecond, "a", "1", list, 7)
	}
}

// BenchmarkCollect measures reports and proposals while 18 of 60 servers
// fail for 300 reporting instances, the highest load of a collector.
func BenchmarkCollect(b *testing.B) {
	c := NewCollector(DefaultSettings())
	c.SetFleetSize(2000, 17)
	list := ids(60)
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * 10 * time.Millisecond
		c.Accept(now, fmt.Sprint(i%300), reportFrom(i%300, list[i%18], 1))
		if i%10 == 0 {
			c.Propose(now, "a", "me", list, config.Permits{}, 60)
		}
	}
}
