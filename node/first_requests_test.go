package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/storage"
)

// A workspace's first request arrives while the lists and the first rows of its shard
// come into force. Guards against refusing it as over its rate.
func TestFirstRequestOfAWorkspaceIsNotOverItsRate(t *testing.T) {
	for seed := range uint64(200) {
		f, id := firstRequest(seed, func(*fleet) bool { return true })
		must.NotEq(t, string(decision.RuleRateExceeded), f.answers[id].rule, must.Sprint("seed ", seed))
	}
}

// Guards against refusing the first request of a workspace after its lists are in force
// on all instances.
func TestFirstRequestIsServedOnceTheListsAreInForce(t *testing.T) {
	for seed := range uint64(200) {
		f, id := firstRequest(seed, listsInForce)
		must.Eq(t, "served", f.answers[id].outcome, must.Sprint("seed ", seed, ": ", f.answers[id].rule))
	}
}

// firstRequest starts a fleet whose lists are written at a random time after its start.
// It sends one request, at a random time after the condition holds, and returns its ID.
func firstRequest(seed uint64, after func(*fleet) bool) (*fleet, string) {
	rng := rand.New(rand.NewPCG(seed, 2))
	randomDuration := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	f := newFleet(seed, 3, 3)
	f.advance(randomDuration(4 * time.Second))
	f.configure()
	for range 1000 {
		f.advance(10 * time.Millisecond)
		if after(f) {
			break
		}
	}
	f.advance(randomDuration(time.Second))
	id := f.sendRequest(f.names[rng.IntN(3)], key, get())
	f.advance(2 * time.Second)
	return f, id
}

func listsInForce(f *fleet) bool {
	revision := f.tables[storage.Control].rows[config.ListsKey].Revision
	for _, i := range f.nodes {
		if !i.node.member.InForce(i.local(f.now), revision) {
			return false
		}
	}
	return true
}
