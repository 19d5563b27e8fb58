package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/storage"
)

// injectFault injects a random fault and schedules its end or a replacement instance.
func (f *fleet) injectFault() {
	name := f.names[f.rng.IntN(len(f.names))]
	duration := time.Duration(1+f.rng.IntN(9)) * time.Second
	switch f.rng.IntN(10) {
	case 0:
		f.freeze(name)
		f.after(duration, func() { f.thaw(name) })
	case 1:
		f.platformDown = true
		f.after(duration, func() { f.platformDown = false })
	case 2, 3:
		f.partition(name, true, false, duration)
	case 4:
		f.partition(name, false, true, duration)
	case 5:
		f.partition(name, true, true, duration)
	case 6:
		f.blocked["table>"+name] = true
		f.after(duration, func() { f.blocked["table>"+name] = false })
	case 7:
		if len(f.names) < 9 && !f.nodes[name].dead {
			f.kill(name)
			f.after(time.Second, func() { f.start(fmt.Sprintf("n%d", len(f.names)), f.rng.IntN(3)) })
		}
	default:
		f.markEnded(name)
	}
}

// markEnded partitions an instance from the platform and the other instances, and
// lists it as ended while it still runs and callers still reach it. Its parts are
// reassigned.
func (f *fleet) markEnded(name string) {
	if len(f.names) >= 9 || f.nodes[name].dead {
		return
	}
	f.partition(name, true, true, 20*time.Second)
	self := f.nodes[name].node.settings.Self
	self.State = storage.Ended
	f.announce(self)
	f.after(20*time.Second, func() { f.nodes[name].dead = true })
	f.start(fmt.Sprintf("n%d", len(f.names)), f.rng.IntN(3))
}

// partition cuts the links between an instance and all others and the platform,
// in one direction or both.
func (f *fleet) partition(name string, out, in bool, duration time.Duration) {
	others := append(slices.Clone(f.names), "table")
	for _, other := range others {
		if other == name {
			continue
		}
		f.blocked[name+">"+other] = out
		f.blocked[other+">"+name] = in
	}
	f.after(duration, func() {
		for _, other := range others {
			f.blocked[name+">"+other] = false
			f.blocked[other+">"+name] = false
		}
	})
}

// maxOverspend replays admissions against a single token bucket with the whole
// limit and returns the greatest number of tokens by which they exceeded it.
func maxOverspend(starts []firstAttempt, rate, burst float64) float64 {
	level, at, worst := burst, time.Duration(0), 0.0
	for _, s := range starts {
		level = min(burst, level+(s.at-at).Seconds()*rate) - 1
		at = s.at
		worst = max(worst, -level)
	}
	return worst
}

// Guards against exceeding a workspace's limit, and against running an operation
// twice or reporting one that ran as not run. A caller sends several times the
// rate to all instances while instances are frozen, partitioned in one direction,
// killed and replaced, and the platform is unavailable at times. The fleet as a
// whole must stay within rate and burst over every window.
func TestRateAndOutcomesHoldUnderFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	served := 0
	for seed := range seeds {
		f := newSettledFleet(seed, 5, 3)
		generateLoad(f, 40*time.Second)
		must.LessEq(t, 1e-6, maxOverspend(f.firstAttempts, rate, burst), must.Sprint("seed ", seed))
		checkOutcomes(t, f, seed)
		for _, a := range f.answers {
			if a.outcome == "served" {
				served++
			}
		}
	}
	must.Greater(t, int(seeds)*150, served)
}

// generateLoad sends requests to random instances at about three times the rate:
// orders with idempotency keys that are repeated at other instances, orders
// without keys, and lookups. It injects faults in between.
func generateLoad(f *fleet, d time.Duration) {
	until := f.now + d
	keys := []string{"made-by-caller-0"}
	for f.now < until {
		if f.rng.IntN(120) == 0 {
			f.injectFault()
		}
		if f.rng.IntN(50) == 0 {
			f.randomServer().mode = []string{"ok", "half", "hang", "shed", "refuse"}[f.rng.IntN(5)]
		}
		name := f.names[f.rng.IntN(len(f.names))]
		switch f.rng.IntN(4) {
		case 0:
			f.sendRequest(name, key, get())
		case 1:
			f.sendRequest(name, key, post(""))
		case 2:
			k := f.operationKey(name, key)
			if k == "" || f.rng.IntN(2) == 0 {
				k = fmt.Sprintf("made-by-caller-%d", len(keys))
			}
			keys = append(keys, k)
		default:
			f.sendRequest(name, key, post(keys[max(0, len(keys)-1-f.rng.IntN(6))]))
		}
		f.advance(time.Duration(f.rng.IntN(32)) * time.Millisecond)
	}
	f.advance(10 * time.Second)
}

func (f *fleet) randomServer() *server {
	return f.servers[fmt.Sprintf("s%d", f.rng.IntN(len(f.servers)))]
}

// checkOutcomes compares the outcomes reported to callers with the executions on
// the backend servers.
func checkOutcomes(t *testing.T, f *fleet, seed uint64) {
	byOperation := map[string]int{}
	byRequest := map[string]int{}
	for _, e := range f.executed {
		request, _, _ := strings.Cut(e.request, "@")
		byRequest[request]++
		if e.operation != "" {
			byOperation[e.operation]++
		}
	}
	for operation, times := range byOperation {
		must.Eq(t, 1, times, must.Sprint("seed ", seed, " operation ", operation))
	}
	for request, a := range f.answers {
		if a.outcome == "not-run" {
			must.Eq(t, 0, byRequest[request], must.Sprint("seed ", seed, " executed but reported not-run: ", request, a))
		}
	}
}

// Guards against nondeterminism in a node: two runs of the fleet with the same
// seed must give the same answers and executions.
func TestSameSeedGivesSameRun(t *testing.T) {
	first, second := newSettledFleet(5, 5, 3), newSettledFleet(5, 5, 3)
	generateLoad(first, 20*time.Second)
	generateLoad(second, 20*time.Second)
	must.Eq(t, first.answers, second.answers)
	must.Eq(t, first.executed, second.executed)
}
