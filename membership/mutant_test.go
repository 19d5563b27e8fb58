package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// Each rule that confirmed age rests on is needed: without it, the model
// finds an instance that acts on what was taken away. A mutant that stays
// green would mean that the faults are too mild to prove anything.
func TestModelDetectsMutants(t *testing.T) {
	// The rarest mutant is red at firstSeed, which saves the time of the
	// histories before it.
	const firstSeed, seeds = 29, 150
	withRules := func(change func(*rules)) func(*sim) {
		return func(s *sim) { s.rules = change }
	}
	onlyMembers := func(w config.Witnesses, has func(string) bool) bool {
		return majority(w.Members, has)
	}
	for _, mutant := range []struct {
		name   string
		mutate func(*sim)
	}{
		{"age counted from the answer", withRules(func(r *rules) {
			r.proofStart = func(_, answered time.Duration) time.Duration { return answered }
		})},
		{"wait shortened by a fifth", withRules(func(r *rules) { r.inForceDelay = r.inForceDelay * 4 / 5 })},
		{"wait without the clocks' error", withRules(func(r *rules) { r.inForceDelay = DefaultFresh })},
		{"no witness counted for a change", withRules(func(r *rules) {
			r.knownByQuorum = func(config.Witnesses, func(string) bool) bool { return true }
		})},
		{"no witness counted for a round", withRules(func(r *rules) {
			r.answeredByQuorum = func(config.Witnesses, func(string) bool) bool { return true }
		})},
		{"list changed without the joint count", withRules(func(r *rules) {
			r.answeredByQuorum, r.knownByQuorum = onlyMembers, onlyMembers
		})},
		{"list before dropped at once", withRules(func(r *rules) {
			r.canDropPrevious = func(_, _ storage.Revision) bool { return true }
		})},
		{"earlier taking counted for a later one", withRules(func(r *rules) {
			r.isInForce = func(inForce, _ storage.Revision) bool { return inForce > 0 }
		})},
		{"old copy of the table accepted as a read", func(s *sim) { s.serveStaleTable = true }},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			t.Parallel()
			first, red := uint64(0), 0
			example := ""
			for seed := uint64(firstSeed); seed < firstSeed+seeds; seed++ {
				h := runHistory(seed, mutant.mutate)
				if len(h.failures) == 0 {
					continue
				}
				if red == 0 {
					first, example = seed, h.failures[0]
				}
				red++
				if !*countMutantFailures {
					break
				}
			}
			t.Logf("%s: red in %d of %d seeds, first %d: %s", mutant.name, red, seeds, first, example)
			must.Positive(t, red)
		})
	}
}
