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

// injectFault makes one fault at random, and undoes it later.
func (f *fleet) injectFault() {
	name := f.names[f.rng.IntN(len(f.names))]
	long := time.Duration(1+f.rng.IntN(9)) * time.Second
	switch f.rng.IntN(10) {
	case 0:
		f.freeze(name)
		f.after(long, func() { f.thaw(name) })
	case 1:
		f.platformDown = true
		f.after(long, func() { f.platformDown = false })
	case 2, 3:
		f.partition(name, true, false, long)
	case 4:
		f.partition(name, false, true, long)
	case 5:
		f.partition(name, true, true, long)
	case 6:
		f.cut["table>"+name] = true
		f.after(long, func() { f.cut["table>"+name] = false })
	case 7:
		if len(f.names) < 9 && !f.nodes[name].dead {
			f.kill(name)
			f.after(time.Second, func() { f.start(fmt.Sprintf("n%d", len(f.names)), f.rng.IntN(3)) })
		}
	default:
		f.markEnded(name)
	}
}

// markEnded cuts an instance off, and the platform takes it for ended
// while it still runs and callers still reach it. Its parts go to others.
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

// partition cuts an instance and perhaps a second one off from all others and
// from the platform, in one direction or both.
func (f *fleet) partition(name string, out, in bool, long time.Duration) {
	others := append(slices.Clone(f.names), "table")
	for _, other := range others {
		if other == name {
			continue
		}
		f.cut[name+">"+other] = out
		f.cut[other+">"+name] = in
	}
	f.after(long, func() {
		for _, other := range others {
			f.cut[name+">"+other] = false
			f.cut[other+">"+name] = false
		}
	})
}

// maxOverspend replays admissions against one bucket of the whole limit, and
// returns by how many tokens they went beyond it.
func maxOverspend(starts []firstAttempt, rate, burst float64) float64 {
	level, at, worst := burst, time.Duration(0), 0.0
	for _, s := range starts {
		level = min(burst, level+(s.at-at).Seconds()*rate) - 1
		at = s.at
		worst = max(worst, -level)
	}
	return worst
}

// The caller floods a workspace at several times its rate on all instances,
// while instances are frozen, cut off one way, killed and replaced, and the
// platform comes and goes. The fleet as a whole must stay within rate and
// burst over every window, and never run an order twice or deny one that ran.
func TestRateAndOutcomesHoldUnderFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	served := 0
	for seed := range seeds {
		f := newSettledFleet(seed, 5, 3)
		generateLoad(f, 40*time.Second)
		must.LessEq(t, 1e-6, maxOverspend(f.starts, rate, burst), must.Sprint("seed ", seed))
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
// orders under keys that are repeated elsewhere, orders without keys, lookups.
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

// checkOutcomes compares what callers were told with what backend servers ran.
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
			must.Eq(t, 0, byRequest[request], must.Sprint("seed ", seed, " told not-run: ", request, a))
		}
	}
}

// A run that was recorded is replayed on a fresh node: the same events at the
// same times give the same effects.
func TestSameSeedGivesSameRun(t *testing.T) {
	one, two := newSettledFleet(5, 5, 3), newSettledFleet(5, 5, 3)
	generateLoad(one, 20*time.Second)
	generateLoad(two, 20*time.Second)
	must.Eq(t, one.answers, two.answers)
	must.Eq(t, one.executed, two.executed)
}
