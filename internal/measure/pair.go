package measure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Pair holds the two routes whose latencies are compared.
type Pair struct {
	Direct, Through *Target
	// PID is the process whose CPU time and memory are measured; 0 for none.
	PID int
}

// Quantiles of latencies, in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50us"`
	P99  int64 `json:"p99us"`
	P999 int64 `json:"p999us"`
}

// Count counts requests by outcome.
type Count struct {
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
	// Failed requests got no complete answer.
	Failed int64 `json:"failed"`
	// Skipped requests were not sent because too many were in flight.
	Skipped int64 `json:"skipped"`
}

// Step is the measurement at one rate.
type Step struct {
	// Rate is in requests per second on each route.
	Rate    int       `json:"rate"`
	Seconds float64   `json:"seconds"`
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// Added is the difference of the quantiles, not the quantile of the differences.
	Added        Quantiles `json:"added"`
	DirectCount  Count     `json:"directCount"`
	ThroughCount Count     `json:"throughCount"`
	// SendDelay is how long after its scheduled time a request was sent. It shows
	// whether the load generator kept up with the rate; latencies exclude it.
	SendDelay Quantiles `json:"sentLate"`
	// CPUPerRequest is the process's CPU time per request, in microseconds; 0 if it was
	// not measured.
	CPUPerRequest float64 `json:"cpuUsPerRequest"`
	// ResidentBytes is the process's resident memory after the step.
	ResidentBytes int64 `json:"residentBytes"`
}

const (
	// maxInFlight limits the concurrent requests on each route.
	maxInFlight = 1000
	// Range of the histograms in microseconds, and their significant digits.
	lowest, highest, digits = 1, 10_000_000, 3
	// warmUpServed is the number of consecutive served requests that ends the warm-up.
	warmUpServed = 200
)

// route collects the results of the requests on one route.
type route struct {
	target *Target
	slots  chan struct{}

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	count     Count
}

func newRoute(t *Target) *route {
	return &route{
		target:    t,
		slots:     make(chan struct{}, maxInFlight),
		latencies: hdrhistogram.New(lowest, highest, digits),
	}
}

// Close closes idle connections.
func (p Pair) Close() {
	p.Direct.http.CloseIdleConnections()
	p.Through.http.CloseIdleConnections()
}

// WarmUp sends requests one at a time until warmUpServed in a row are served on both
// routes, so that connections are open and token buckets are filled.
func (p Pair) WarmUp(ctx context.Context, atMost time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	var last error
	for served, number := 0, 0; served < warmUpServed; number++ {
		if ctx.Err() != nil {
			return errors.Wrapf(errors.CombineErrors(last, ctx.Err()), "measure: warm-up not finished after %s", atMost)
		}
		err := errors.CombineErrors(p.Direct.send(ctx, number), p.Through.send(ctx, number))
		if err == nil {
			served++
			continue
		}
		last = err
		served = 0
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Run sends requests at a fixed rate on both routes at the same times, whether or
// not earlier ones have been answered (an open loop).
func (p Pair) Run(ctx context.Context, rate int, during time.Duration) (Step, error) {
	direct, through := newRoute(p.Direct), newRoute(p.Through)
	lateness := hdrhistogram.New(lowest, highest, digits)
	before, err := usageOf(p.PID)
	if err != nil {
		return Step{}, err
	}
	var wg sync.WaitGroup
	start := time.Now()
	total := int(float64(rate) * during.Seconds())
	for number := range total {
		due := start.Add(time.Duration(number) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		_ = lateness.RecordValue(micros(time.Since(due)))
		// The route that goes first alternates, so that neither gains.
		first, second := direct, through
		if number%2 == 1 {
			first, second = through, direct
		}
		first.start(ctx, &wg, number)
		second.start(ctx, &wg, number)
	}
	wg.Wait()
	took := time.Since(start)
	after, err := usageOf(p.PID)
	if err != nil {
		return Step{}, err
	}
	step := Step{
		Rate:          rate,
		Seconds:       took.Seconds(),
		Direct:        quantiles(direct.latencies),
		Through:       quantiles(through.latencies),
		DirectCount:   direct.count,
		ThroughCount:  through.count,
		SendDelay:     quantiles(lateness),
		ResidentBytes: after.resident,
	}
	step.Added = step.Through.minus(step.Direct)
	if n := through.count.Served + through.count.Refused; n > 0 {
		step.CPUPerRequest = (after.cpuTime - before.cpuTime).Seconds() * 1e6 / float64(n)
	}
	return step, ctx.Err()
}

func (w *route) start(ctx context.Context, wg *sync.WaitGroup, number int) {
	select {
	case w.slots <- struct{}{}:
	default:
		w.mu.Lock()
		w.count.Skipped++
		w.mu.Unlock()
		return
	}
	wg.Go(func() {
		begin := time.Now()
		err := w.target.send(ctx, number)
		took := time.Since(begin)
		<-w.slots
		w.record(took, err)
	})
}

func (w *route) record(took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.count.Served++
		_ = w.latencies.RecordValue(micros(took))
	case errors.Is(err, errRefused):
		w.count.Refused++
	default:
		w.count.Failed++
	}
}

// micros rounds up to microseconds and clamps to the range of the histograms.
func micros(d time.Duration) int64 {
	return min(max(int64((d+time.Microsecond-1)/time.Microsecond), lowest), highest)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50:  h.ValueAtQuantile(50),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
	}
}

func (q Quantiles) minus(o Quantiles) Quantiles {
	return Quantiles{P50: q.P50 - o.P50, P99: q.P99 - o.P99, P999: q.P999 - o.P999}
}
