package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// fresh is a server that nothing but good answers is known of.
func fresh(p *placement.Placer, id string, now time.Duration) {
	for range 10 {
		p.RecordResult(placement.Hash(id), health.OK, false, work, work, now)
	}
}

func riskOf(t *testing.T, p *placement.Placer, id string, now time.Duration) float64 {
	t.Helper()
	for _, v := range p.ServerStatuses(now) {
		if v.Server.ID == id {
			return v.Risk
		}
	}
	t.Fatalf("no server %s", id)
	return 0
}

// A server reports a failure. If it did so at once, a spell has begun and the
// next orders would be lost; if it took as long as the work does, the request
// has failed by itself, and avoiding the server would only crowd the others.
func TestQuickErrorsBetraySpells(t *testing.T) {
	p := placer("quick", "slow")
	now := 10 * time.Second
	fresh(p, "quick", now)
	fresh(p, "slow", now)
	p.RecordResult(placement.Hash("quick"), health.ServerError, false, 2*time.Millisecond, work, now)
	p.RecordResult(placement.Hash("slow"), health.ServerError, false, work, work, now)
	must.Greater(t, 0.5, riskOf(t, p, "quick", now))
	must.Less(t, 0.12, riskOf(t, p, "slow", now))
}

// train shows the placer servers that fail in one way and then fail again, or
// answer.
func train(p *placement.Placer, r health.Result, took time.Duration, again health.Result, servers int) time.Duration {
	now := 10 * time.Second
	for i := range servers {
		id := fmt.Sprintf("t-%d", i)
		fresh(p, id, now)
		p.RecordResult(placement.Hash(id), r, false, took, work, now)
		p.RecordResult(placement.Hash(id), again, false, work, work, now+time.Second)
		now += 100 * time.Millisecond
	}
	return now + 2*time.Second
}

func trainees(n int, more ...string) []string {
	for i := range n {
		more = append(more, fmt.Sprintf("t-%d", i))
	}
	return more
}

// The servers of this service fail late in a spell, by whole answers. One such
// failure must be enough, as soon as it has shown what it means here.
func TestSlowErrorsThatMeanSpellsAreLearnt(t *testing.T) {
	p := placer(trainees(30, "a")...)
	now := train(p, health.ServerError, work, health.ServerError, 30)
	fresh(p, "a", now)
	p.RecordResult(placement.Hash("a"), health.ServerError, false, work, work, now)
	must.Greater(t, 0.5, riskOf(t, p, "a", now))
}

// Answers of this service get lost on their way and say nothing of its servers,
// which would all be avoided for nothing.
func TestBreaksThatMeanNothingAreLearnt(t *testing.T) {
	p := placer(trainees(60, "a")...)
	now := train(p, health.Incomplete, 2*time.Millisecond, health.OK, 60)
	fresh(p, "a", now)
	p.RecordResult(placement.Hash("a"), health.Incomplete, false, 2*time.Millisecond, work, now)
	must.Less(t, 0.15, riskOf(t, p, "a", now))
}

// Attempts that were under way when a server began to fail still answer. Taken
// for what follows the failure, they would make it look harmless.
func TestAttemptsUnderWayDoNotExplainASign(t *testing.T) {
	p := placer(trainees(60, "a")...)
	now := 10 * time.Second
	for i := range 60 {
		h := placement.Hash(fmt.Sprintf("t-%d", i))
		p.RecordResult(h, health.ServerError, false, 2*time.Millisecond, work, now)
		p.RecordResult(h, health.OK, false, work, work, now+work/2)
	}
	now += 10 * time.Second
	fresh(p, "a", now)
	p.RecordResult(placement.Hash("a"), health.ServerError, false, 2*time.Millisecond, work, now)
	must.Greater(t, 0.5, riskOf(t, p, "a", now))
}
