package proofs

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/trial"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
)

const (
	// instances and dataCentres match the larger of the current deployments.
	instances   = 40
	dataCentres = 4
	keyChanges  = 10
	// idlePeriod is how long resource use without changes is measured.
	idlePeriod = 10 * time.Second
	// inForceLimit is the guaranteed time for a change to be in force. The
	// allowance covers running 40 instances and other work on a few cores.
	inForceLimit           = 3 * time.Second
	sharedMachineAllowance = time.Second
	// pollInterval is the pause between two polls of an instance.
	pollInterval = 40 * time.Millisecond
)

// Keys are created and withdrawn in turn on 40 instances, and every instance is
// polled until it has applied each change. An instance that misses a change would
// keep accepting a withdrawn key, and a change that takes too long to be in force
// delays every operator.
func TestChangeSpreadsToFortyInstances(t *testing.T) {
	tc := newTestCluster(t, testClusterOptions{endAfter: time.Minute, locateTTL: 2 * time.Second})
	defer tc.dumpLogsOnFailure()
	for i := range instances {
		tc.startEntry(fmt.Sprintf("luzon-%d", i%dataCentres+1))
	}
	for i := range 4 {
		tc.startBackend("catalogue", fmt.Sprintf("luzon-%d", i+1), standin.BackendOptions{})
	}
	tc.apply(trialLists())
	entries := tc.awaitFleet(instances)
	time.Sleep(idlePeriod) // let the shards write their first rows

	before := tc.measureUsage(entries)
	time.Sleep(idlePeriod)
	tc.logUsage(before, tc.measureUsage(entries))

	var spread, slowest, inForce []time.Duration
	var key string
	for n := range keyChanges {
		var c operator.KeyChange
		var err error
		want := n%2 == 0
		if want {
			c, err = tc.operator.IssueKey(t.Context(), "cebu-boatyard", fmt.Sprintf("change %d", n))
			key = c.Secret.Reveal()
		} else {
			c, err = tc.operator.RevokeKey(t.Context(), operator.KeySelector{Key: key})
		}
		must.NoError(t, err)
		must.Eq(t, operator.Accepted, c.Outcome)
		all, known := tc.measure(entries, key, want, c.Revision)
		for i, a := range all {
			spread = append(spread, a.applied)
			if a.lastBefore > known {
				t.Errorf("change %d: instance %d still answered with the old state %s after the change was reported in force on all instances",
					n, i, a.lastBefore-known)
			}
		}
		slowest = append(slowest, slices.Max(spread[len(spread)-len(all):]))
		inForce = append(inForce, known)
	}
	t.Logf("%d changes at %d instances: applied after %s", keyChanges, len(entries), quantiles(spread))
	t.Logf("slowest instance per change: %s", quantiles(slowest))
	t.Logf("reported in force on all instances: %s", quantiles(inForce))
	must.Less(t, inForceLimit+sharedMachineAllowance, slices.Max(slowest))
	must.Less(t, inForceLimit+sharedMachineAllowance, slices.Max(inForce))
}

// awaitFleet waits until every instance serves and knows all others.
func (tc *testCluster) awaitFleet(n int) []storage.Instance {
	tc.t.Helper()
	start := time.Now()
	for {
		must.Less(tc.t, 2*waitTimeout, time.Since(start), must.Sprint("not all instances are serving and know all others"))
		entries, err := tc.fleet.Entries(tc.t.Context())
		ready := 0
		for _, e := range entries {
			s, err := tc.fleet.Status(tc.t.Context(), e)
			if err == nil && s.Serving == oas.StatusServingServing && s.Entries.Live == n {
				ready++
			}
		}
		if err == nil && ready == n {
			return entries
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// measure returns how long each instance took to apply a change of a key, and the
// time until an instance reported the change in force on all instances.
func (tc *testCluster) measure(entries []storage.Instance, key string, works bool, r storage.Revision) (all []observation, inForce time.Duration) {
	start := time.Now()
	all = make([]observation, len(entries))
	var asking sync.WaitGroup
	for i, e := range entries {
		asking.Go(func() { all[i] = pollUntil(start, func() bool { return accepts(e.Address, key) == works }) })
	}
	asking.Go(func() {
		inForce = pollUntil(start, func() bool {
			a, err := tc.fleet.InForce(tc.t.Context(), entries[0], r)
			return err == nil && a.InForce
		}).applied
	})
	asking.Wait()
	return all, inForce
}

// observation holds when an instance was seen to switch to the new state.
type observation struct {
	// applied is when the first answer with the new state arrived; lastBefore
	// is when the last request answered with the old state was sent.
	applied, lastBefore time.Duration
}

func pollUntil(start time.Time, done func() bool) observation {
	var r observation
	for {
		asked := time.Since(start)
		if done() || asked > waitTimeout {
			r.applied = time.Since(start)
			return r
		}
		r.lastBefore = asked
		time.Sleep(pollInterval)
	}
}

// accepts reports whether an instance accepts a key. It uses locate, which needs a
// key but does not count against the rate.
func accepts(address, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	_, err := trial.NewCaller(address, key).Addresses(ctx)
	return err == nil
}

// fleetUsage is the cumulative resource use of the fleet.
type fleetUsage struct {
	at            time.Time
	reads, writes int
	// cpu, peerBytes and rss are per instance; peerBytes counts both directions.
	cpu       []time.Duration
	peerBytes []float64
	rss       []int
}

func (tc *testCluster) measureUsage(entries []storage.Instance) fleetUsage {
	counts := tc.platform.Counts()
	c := fleetUsage{at: time.Now(), reads: counts.Reads, writes: counts.Writes}
	for _, e := range tc.running() {
		cpu, rss := usage(tc.t, e.process.PID())
		c.cpu = append(c.cpu, cpu)
		c.rss = append(c.rss, rss)
	}
	for _, e := range entries {
		m := metrics(tc.t, e.OperatorAddress)
		c.peerBytes = append(c.peerBytes, m["foxtailspoke_peer_sent_bytes"]+m["foxtailspoke_peer_received_bytes"])
	}
	return c
}

func (tc *testCluster) logUsage(a, b fleetUsage) {
	seconds := b.at.Sub(a.at).Seconds()
	var cpu, peer, rss []float64
	for i := range a.cpu {
		cpu = append(cpu, (b.cpu[i]-a.cpu[i]).Seconds()/seconds*1000)
		peer = append(peer, (b.peerBytes[i]-a.peerBytes[i])/seconds)
		rss = append(rss, float64(b.rss[i])/(1<<20))
	}
	tc.t.Logf("without changes, over %.1f s: platform received %.1f reads/s and %.1f writes/s",
		seconds, float64(b.reads-a.reads)/seconds, float64(b.writes-a.writes)/seconds)
	tc.t.Logf("per instance: peer bytes/s %s; CPU ms/s %s; resident MiB %s", figures(peer), figures(cpu), figures(rss))
}

// usage returns the CPU time and resident bytes of a process, from proc(5).
func usage(t *testing.T, pid int) (time.Duration, int) {
	t.Helper()
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	must.NoError(t, err)
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	const utime, stime, resident = 11, 12, 21
	user, err := strconv.Atoi(fields[utime])
	must.NoError(t, err)
	system, err := strconv.Atoi(fields[stime])
	must.NoError(t, err)
	pages, err := strconv.Atoi(fields[resident])
	must.NoError(t, err)
	return time.Duration(user+system) * tick, pages * os.Getpagesize()
}

// metrics returns the unlabelled metrics of an instance.
func metrics(t *testing.T, address string) map[string]float64 {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/metrics", nil)
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	values := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	must.MapContainsKey(t, values, "foxtailspoke_peer_sent_bytes")
	return values
}

func quantiles(d []time.Duration) string {
	d = slices.Sorted(slices.Values(d))
	return fmt.Sprintf("median %s, p99 %s, worst %s",
		d[len(d)/2].Round(time.Millisecond), d[len(d)*99/100].Round(time.Millisecond), d[len(d)-1].Round(time.Millisecond))
}

func figures(v []float64) string {
	v = slices.Sorted(slices.Values(v))
	return fmt.Sprintf("median %.1f, worst %.1f", v[len(v)/2], v[len(v)-1])
}
