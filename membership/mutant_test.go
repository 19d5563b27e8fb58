package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/storage"
)

// Checks that the model test detects the removal of each rule that the safety
// of confirmed age depends on. A mutant that passes would mean that the injected
// faults are too weak for the model test to be evidence.
func TestModelDetectsMutants(t *testing.T) {
	// The mutant that fails least often fails at firstSeed; starting there
	// saves the time of the seeds before it.
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
		{"proof dated from the answer", withRules(func(r *rules) {
			r.proofStart = func(_, answered time.Duration) time.Duration { return answered }
		})},
		{"wait shortened by a fifth", withRules(func(r *rules) { r.inForceDelay = r.inForceDelay * 4 / 5 })},
		{"wait without clock rate error", withRules(func(r *rules) { r.inForceDelay = DefaultFresh })},
		{"no majority required for a change", withRules(func(r *rules) {
			r.knownByQuorum = func(config.Witnesses, func(string) bool) bool { return true }
		})},
		{"no majority required for a round", withRules(func(r *rules) {
			r.answeredByQuorum = func(config.Witnesses, func(string) bool) bool { return true }
		})},
		{"witnesses changed without joint majority", withRules(func(r *rules) {
			r.answeredByQuorum, r.knownByQuorum = onlyMembers, onlyMembers
		})},
		{"previous witnesses dropped at once", withRules(func(r *rules) {
			r.canDropPrevious = func(_, _ storage.Revision) bool { return true }
		})},
		{"earlier revision in force counted for a later one", withRules(func(r *rules) {
			r.isInForce = func(inForce, _ storage.Revision) bool { return inForce > 0 }
		})},
		{"stale copy of the table accepted as a read", func(s *sim) { s.serveStaleTable = true }},
	} {
		t.Run(mutant.name, func(t *testing.T) {
			t.Parallel()
			first, failed := uint64(0), 0
			example := ""
			for seed := uint64(firstSeed); seed < firstSeed+seeds; seed++ {
				h := runHistory(seed, mutant.mutate)
				if len(h.failures) == 0 {
					continue
				}
				if failed == 0 {
					first, example = seed, h.failures[0]
				}
				failed++
				if !*countMutantFailures {
					break
				}
			}
			t.Logf("%s: failed in %d of %d seeds, first %d: %s", mutant.name, failed, seeds, first, example)
			must.Positive(t, failed)
		})
	}
}
