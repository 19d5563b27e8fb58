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
	// instances and dataCentres are the greater of today's deployments.
	instances   = 40
	dataCentres = 4
	keyChanges  = 10
	// quiet is for how long the cost without changes is measured.
	idlePeriod = 10 * time.Second
	// inForceWithin is what is promised. The allowance is for a machine that
	// runs 40 instances and other work on a few cores.
	inForceLimit           = 3 * time.Second
	sharedMachineAllowance = time.Second
	// askEvery is the pause between two questions to an instance.
	pollInterval = 40 * time.Millisecond
)

// Forty instances run. Keys are given and withdrawn in turn, and each time
// every instance is asked until it acts on the change. A change that one of
// them missed would be a withdrawn key that goes on working there, and a
// change that took longer to be in force would hold up every operator.
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
	time.Sleep(idlePeriod) // the shards' first rows are written meanwhile

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
			c, err = tc.operator.GiveKey(t.Context(), "cebu-boatyard", fmt.Sprintf("change %d", n))
			key = c.Secret.Reveal()
		} else {
			c, err = tc.operator.WithdrawKey(t.Context(), operator.KeySelector{Key: key})
		}
		must.NoError(t, err)
		must.Eq(t, operator.Accepted, c.Outcome)
		all, known := tc.measure(entries, key, want, c.Revision)
		for i, a := range all {
			spread = append(spread, a.applied)
			if a.lastBefore > known {
				t.Errorf("change %d: instance %d still answered as before the change %s after it was said to be in force everywhere",
					n, i, a.lastBefore-known)
			}
		}
		slowest = append(slowest, slices.Max(spread[len(spread)-len(all):]))
		inForce = append(inForce, known)
	}
	t.Logf("%d changes at %d instances: acted on after %s", keyChanges, len(entries), quantiles(spread))
	t.Logf("the slowest instance of each change: %s", quantiles(slowest))
	t.Logf("known to be in force everywhere: %s", quantiles(inForce))
	must.Less(t, inForceLimit+sharedMachineAllowance, slices.Max(slowest))
	must.Less(t, inForceLimit+sharedMachineAllowance, slices.Max(inForce))
}

// awaitFleet waits until every instance serves and knows all others.
func (tc *testCluster) awaitFleet(n int) []storage.Instance {
	tc.t.Helper()
	start := time.Now()
	for {
		must.Less(tc.t, 2*waitTimeout, time.Since(start), must.Sprint("the instances don't find each other"))
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

// measure returns how long each instance took to act on a change of a key,
// and how long until an instance knew that it is in force everywhere.
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

// reached says when an instance reached the new state.
type observation struct {
	// acted is when it answered by the new state; before is when the last
	// question was put that it answered by the old one.
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

// accepts asks an instance for addresses, which takes a key and no rate.
func accepts(address, key string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	_, err := trial.NewCaller(address, key).Addresses(ctx)
	return err == nil
}

// cost is what the fleet has used so far.
type fleetUsage struct {
	at            time.Time
	reads, writes int
	// cpu and peerBytes are by instance; peerBytes counts both directions.
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
	tc.t.Logf("without changes, over %.1f s: the platform got %.1f reads and %.1f writes a second",
		seconds, float64(b.reads-a.reads)/seconds, float64(b.writes-a.writes)/seconds)
	tc.t.Logf("an instance: peer bytes a second %s; CPU ms a second %s; MiB resident %s", figures(peer), figures(cpu), figures(rss))
}

// usage returns the processor time and the resident bytes of a process of
// this test, from proc(5).
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

// metrics reads the metrics without labels of an instance.
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
