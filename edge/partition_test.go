package edge_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin"
)

// contactPeriod is the time after the begin of a partition from which requests count.
const contactPeriod = 3 * time.Second

// partitionedFleet has two instances and two servers in each of two data centres.
func partitionedFleet(t *testing.T) (*fleet, []*backend) {
	t.Helper()
	f := newFleet(t)
	f.configure(10000, key)
	var servers []*backend
	for i := range 4 {
		servers = append(servers, f.backendIn(fmt.Sprintf("dc-%d", i%2), fmt.Sprintf("i-%d", i), nil))
	}
	for i := range 4 {
		f.start(func(s *settings.Settings) { s.DataCentre = fmt.Sprintf("dc-%d", i%2) })
	}
	for i := range 4 {
		eventually(t, 5*time.Second, "instance is ready and knows all others", func() bool {
			return f.ready(i) && len(f.addressesIn(i, fmt.Sprintf("dc-%d", i%2))) >= 2
		})
	}
	return f, servers
}

// served counts answered requests by instance.
type served struct {
	mu      sync.Mutex
	ok, all map[int]int
}

// roundInterval is the time between two rounds of requests. Connections to servers are
// then idle for too long to carry an order.
const roundInterval = 250 * time.Millisecond

// sendTo sends n orders and n lookups to an instance, one of each at a time.
func (s *served) sendTo(f *fleet, instance, n int) {
	for range n {
		var wg sync.WaitGroup
		for _, send := range []func(int) (result, string){f.order, f.lookup} {
			wg.Go(func() {
				r, _ := send(instance)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.all[instance]++
				if r.err == nil && r.status == http.StatusOK {
					s.ok[instance]++
				}
			})
		}
		wg.Wait()
		time.Sleep(roundInterval)
	}
}

func (s *served) share(instances []int) (ok, all int) {
	for _, i := range instances {
		ok, all = ok+s.ok[i], all+s.all[i]
	}
	return ok, all
}

// Guards against refusing the callers of an instance that has lost its connections to
// all backend servers, while other instances still reach them.
func TestCallersOfAPartitionedInstanceAreServed(t *testing.T) {
	for _, mode := range []standin.PartitionMode{standin.PartitionHang, standin.PartitionReset, standin.PartitionRefuse} {
		for _, partitioned := range [][]int{{0}, {0, 2}} {
			t.Run(fmt.Sprintf("%s at %d", mode, len(partitioned)), func(t *testing.T) {
				t.Parallel()
				f, _ := partitionedFleet(t)
				before, after := &served{ok: map[int]int{}, all: map[int]int{}}, &served{ok: map[int]int{}, all: map[int]int{}}
				all := []int{0, 1, 2, 3}
				sendAll := func(s *served, n int) {
					var wg sync.WaitGroup
					for _, i := range all {
						wg.Go(func() { s.sendTo(f, i, n) })
					}
					wg.Wait()
				}
				sendAll(before, 10)
				for _, i := range partitioned {
					f.instances[i].path.SetMode(mode)
				}
				for start := time.Now(); time.Since(start) < contactPeriod; {
					sendAll(before, 1)
				}
				sendAll(after, 25)

				others := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(partitioned, i) })
				partitionedOK, partitionedAll := after.share(partitioned)
				otherOK, otherAll := after.share(others)
				t.Logf("partitioned: %d of %d served, others: %d of %d", partitionedOK, partitionedAll, otherOK, otherAll)
				must.Greater(t, 0, otherOK)
				farWorse := float64(partitionedOK)/float64(partitionedAll) < 2.0/3*float64(otherOK)/float64(otherAll)
				tooMany := partitionedAll-partitionedOK > 10+(partitionedAll+otherAll)/50
				must.False(t, farWorse && tooMany, must.Sprintf("partitioned instances served %d of %d requests, the others %d of %d", partitionedOK, partitionedAll, otherOK, otherAll))
			})
		}
	}
}
