package health_test

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// outcome holds the measurements of a trial.
type outcome struct {
	// avoided is the time from the start of the fault until most instances
	// avoided all sick servers.
	avoided time.Duration
	// permitted is the time from the start of the fault until the permits
	// ejected as many servers as are sick.
	permitted time.Duration
	// falseEjections counts ejections of healthy servers: by permit, or by each
	// instance for the baseline policy "local".
	falseEjections int
	ejections      int
	latencies      [][]time.Duration
	failed         []int
	attempts       int
	reports        int
	reportBytes    int
	// withdrawn lists the instances withdrawn because of their own network.
	withdrawn []int
}

const never = time.Duration(-1)

func newOutcome() outcome {
	return outcome{
		avoided: never, permitted: never,
		latencies: make([][]time.Duration, len(workspaceShares)), failed: make([]int, len(workspaceShares)),
	}
}

func (o *outcome) recordRequest(workspace int, latency time.Duration, ok bool) {
	o.latencies[workspace] = append(o.latencies[workspace], latency)
	if !ok {
		o.failed[workspace]++
	}
}

func (o *outcome) recordAvoided(now time.Duration, w *simulation) {
	if o.avoided != never || !w.fault.active(now) || len(w.fault.sick) == 0 {
		return
	}
	s := w.services[w.fault.service]
	workspace := ""
	if w.fault.workspace >= 0 {
		workspace = strconv.Itoa(w.fault.workspace)
	}
	instances := w.instances
	if w.fault.workspace >= 0 {
		instances = w.instancesFor(w.fault.workspace)
	}
	for i := range w.fault.sick {
		n := 0
		for _, in := range instances {
			if in.policy.avoids(now, s, s.servers[i].id, workspace) {
				n++
			}
		}
		if n <= len(instances)/2 {
			return
		}
	}
	o.avoided = now - faultStart
}

func (o *outcome) recordPermits(now time.Duration, w *simulation, s *service, before, after config.Permits) {
	for _, e := range after.Ejected {
		if slices.ContainsFunc(before.Ejected, func(b config.Ejection) bool { return b.Server == e.Server }) {
			continue
		}
		o.ejections++
		i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == e.Server })
		if w.serviceIndex(s) != w.fault.service || !w.fault.sick[i] || !w.fault.active(now) {
			o.falseEjections++
		}
	}
	if o.permitted == never && len(w.fault.sick) > 0 && len(after.Ejected) >= len(w.fault.sick) {
		o.permitted = now - faultStart
	}
}

func (o *outcome) countLocalEjections(w *simulation) {
	for _, in := range w.instances {
		p, ok := in.policy.(*localEjection)
		if !ok {
			return
		}
		for id, n := range p.ejections {
			name, index, _ := strings.Cut(id, "-")
			i, _ := strconv.Atoi(index)
			if name != w.services[w.fault.service].name || !w.fault.sick[i] {
				o.falseEjections += n
			}
		}
	}
}

// worstWorkspace returns the lowest success share and the highest 99th percentile
// latency of any workspace.
func (o *outcome) worstWorkspace() (success float64, p99 time.Duration) {
	success = 1
	for i, list := range o.latencies {
		if len(list) == 0 {
			continue
		}
		success = min(success, 1-float64(o.failed[i])/float64(len(list)))
		slices.Sort(list)
		p99 = max(p99, list[len(list)*99/100])
	}
	return success, p99
}

func (o *outcome) failedShare() float64 {
	n, failed := 0, 0
	for i, list := range o.latencies {
		n += len(list)
		failed += o.failed[i]
	}
	return float64(failed) / float64(max(1, n))
}

// summary aggregates the trials of several seeds.
type summary struct {
	avoided, permitted []time.Duration
	falseEjections     int
	ejections          int
	success            float64
	p99                time.Duration
	failed             float64
	bytesPerSecond     float64
	// withdrawals counts the instances withdrawn because of their own network.
	withdrawals int
}

func runTrials(d deployment, f func() *fault, policyName string, seeds int) summary {
	r := summary{success: 1}
	for seed := range seeds {
		o := newSimulation(d, f(), policyName, uint64(seed+1)).run()
		success, p99 := o.worstWorkspace()
		r.avoided = append(r.avoided, o.avoided)
		r.permitted = append(r.permitted, o.permitted)
		r.falseEjections += o.falseEjections
		r.ejections += o.ejections
		r.withdrawals += len(o.withdrawn)
		r.success = min(r.success, success)
		r.p99 = max(r.p99, p99)
		r.failed += o.failedShare() / float64(seeds)
		r.bytesPerSecond += float64(o.reportBytes) / trialEnd.Seconds() / float64(d.instances*seeds)
	}
	return r
}

// formatTimes formats median/worst. The worst value is never, for a fault that
// wasn't detected.
func formatTimes(list []time.Duration) string {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b time.Duration) int { return int(uint64(a)>>1) - int(uint64(b)>>1) })
	show := func(d time.Duration) string {
		if d == never {
			return "-"
		}
		return fmt.Sprintf("%.2f", d.Seconds())
	}
	return show(sorted[len(sorted)/2]) + "/" + show(sorted[len(sorted)-1])
}

func (r summary) String() string {
	return fmt.Sprintf("%12s %12s %4d/%-4d %8.2f %8d %8.3f %6.0f %4d", formatTimes(r.avoided), formatTimes(r.permitted),
		r.falseEjections, r.ejections, 100*r.success, r.p99.Milliseconds(), 100*r.failed, r.bytesPerSecond, r.withdrawals)
}

var policies = []string{"health", "local", "round robin"}

var printTrial = flag.Bool("trial", false, "run the trials of all faults and print the table of results")

// TestTrial prints a table of the results for each fault and policy. It is a
// measurement that takes minutes; TestSmallTrial runs a part of it in CI.
func TestTrial(t *testing.T) {
	if !*printTrial {
		t.Skip("measurement that takes minutes; to run it: go test -run 'TestTrial$' -v ./health -trial")
	}
	const seeds = 5
	for _, d := range []deployment{dimaculangan, kervan} {
		for service := range d.services {
			rows := trialTable(d, service, seeds)
			t.Logf("%s, %s, %d seeds; s to avoidance, s to permit (median/worst); false/all ejections; worst workspace: success %%, p99 ms; failed %%; report bytes/s/instance; withdrawn instances\n%s",
				d.name, d.services[service].name, seeds, strings.Join(rows, "\n"))
		}
	}
}

const trialWorkers = 4

func trialTable(d deployment, service, seeds int) []string {
	list := faults(service, d.dataCentres)
	rows := make([]string, len(list)*len(policies))
	var wg sync.WaitGroup
	slot := make(chan struct{}, trialWorkers)
	for i := range rows {
		wg.Add(1)
		slot <- struct{}{}
		go func() {
			defer wg.Done()
			f, policyName := list[i/len(policies)], policies[i%len(policies)]
			r := runTrials(d, func() *fault { return faults(service, d.dataCentres)[i/len(policies)] }, policyName, seeds)
			rows[i] = fmt.Sprintf("%-36s %-12s %s", f.name, policyName, r)
			<-slot
		}()
	}
	wg.Wait()
	return rows
}

const smallTrialEnd = faultStart + 10*time.Second

// Compares the health policy with the baselines on one seed: one server of the
// catalogue truncates responses, two servers fail, one workspace sends bad requests,
// one instance has a bad network, or one data centre gets no responses from one
// server. Sick servers must be avoided and ejected in time, healthy ones not.
func TestSmallTrial(t *testing.T) {
	list := faults(0, dimaculangan.dataCentres)
	run := func(name, policyName string) *outcome {
		i := slices.IndexFunc(list, func(f *fault) bool { return f.name == name })
		w := newSimulation(dimaculangan, list[i], policyName, 1)
		w.until = smallTrialEnd
		return w.run()
	}
	for _, name := range []string{"1 in 5 responses truncated", "errors, two servers"} {
		o := run(name, "health")
		must.Between(t, 0, o.avoided, 3*time.Second, must.Sprint(name))
		must.Between(t, 0, o.permitted, 5*time.Second, must.Sprint(name))
		must.Zero(t, o.falseEjections, must.Sprint(name))
		success, _ := o.worstWorkspace()
		must.GreaterEq(t, 0.995, success, must.Sprint(name))
	}
	local := run("errors, two servers", "local")
	must.Greater(t, 3*time.Second, local.avoided)
	must.Eq(t, []int{3}, run("one instance's bad network", "health").withdrawn)
	for _, name := range []string{"one workspace's bad requests", "one data centre cut from one server"} {
		must.Zero(t, run(name, "health").ejections, must.Sprint(name))
		must.SliceEmpty(t, run(name, "health").withdrawn, must.Sprint(name))
		must.Positive(t, run(name, "local").falseEjections, must.Sprint(name))
	}
}

// The same seed must give the same results to the nanosecond, so that a recorded
// trace can be replayed.
func TestTrialRepeats(t *testing.T) {
	f := faults(0, kervan.dataCentres)[1]
	run := func() string {
		w := newSimulation(kervan, f, "health", 1)
		w.until = faultStart + 5*time.Second
		return fmt.Sprint(*w.run())
	}
	must.Eq(t, run(), run())
}
