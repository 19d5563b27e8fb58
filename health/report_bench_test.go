package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkReports measures the reports per second and their size for an
// instance with 70 requests per second, spread evenly over the 560 services
// of the target size, for several shares of failing attempts.
func BenchmarkReports(b *testing.B) {
	const rate, services, seconds, step = 70, 560, 60, 250 * time.Millisecond
	for _, failing := range []float64{0, 0.001, 0.01, 0.1, 1} {
		b.Run(fmt.Sprint("failing=", failing), func(b *testing.B) {
			reports, bytes := 0, 0
			for range b.N {
				rng := rand.New(rand.NewPCG(1, 1))
				o := NewObserver(DefaultSettings(), rng)
				for now := step; now <= seconds*time.Second; now += step {
					for range rate / 4 {
						result := OK
						if rng.Float64() < failing {
							result = ServerError
						}
						o.Observe(now, Observation{
							Service: fmt.Sprintf("service-%03d", rng.IntN(services)), Server: fmt.Sprintf("target-%036d", rng.IntN(4)),
							Workspace: "workspace-000001", Result: result, Latency: 5 * time.Millisecond,
						})
					}
					for _, r := range o.DueReports(now) {
						reports++
						bytes += r.Size()
					}
				}
			}
			b.ReportMetric(float64(reports)/float64(b.N)/seconds, "reports/s")
			b.ReportMetric(float64(bytes)/float64(b.N)/seconds, "B/s")
		})
	}
}
