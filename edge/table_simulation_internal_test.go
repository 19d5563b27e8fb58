package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxtailspoke/evidence"
)

// tableSimulation has instances read a table, announce what they read to each other and fetch
// it from each other, in random order and with losses.
type tableSimulation struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*Edge
	// reads and messages are under way, by the instance that will receive them.
	reads    [][]tableRead
	messages [][]evidence.TableUpdate
}

func newTableSimulation(t *testing.T, seed uint64) *tableSimulation {
	t.Helper()
	const size = 4
	s := &tableSimulation{
		rng: rand.New(rand.NewPCG(seed, 0)), now: 100 * time.Second,
		reads: make([][]tableRead, size), messages: make([][]evidence.TableUpdate, size),
	}
	for range size {
		s.instances = append(s.instances, newIdleInstance(t))
	}
	return s
}

// step lets time pass and does something at random: it changes the store, has an instance begin
// a read, completes one, delivers a message, or has an instance fetch a snapshot.
func (s *tableSimulation) step(change func(), read func(*Edge, time.Duration) tableRead, fetch func(to, from *Edge)) {
	s.now += time.Duration(1+s.rng.IntN(20)) * ms
	i := s.rng.IntN(len(s.instances))
	e := s.instances[i]
	switch s.rng.IntN(13) {
	case 0, 1:
		change()
	case 2, 3, 4:
		s.reads[i] = append(s.reads[i], read(e, s.now))
	case 5, 6:
		if p, ok := takeRandom(s.rng, &s.reads[i]); ok {
			s.announce(i, completeRead(e, p, s.now))
		}
	case 7, 8, 9, 10:
		if n, ok := takeRandom(s.rng, &s.messages[i]); ok {
			e.applyTableUpdate(n, s.now)
		}
	case 11, 12:
		fetch(e, s.instances[s.rng.IntN(len(s.instances))])
	}
}

// announce sends updates to all other instances; a third of them is lost.
func (s *tableSimulation) announce(from int, updates []evidence.TableUpdate) {
	for i := range s.instances {
		for _, n := range updates {
			if i != from && s.rng.IntN(3) > 0 {
				s.messages[i] = append(s.messages[i], n)
			}
		}
	}
}

// takeRandom removes a random element and returns it, or false if there is none.
func takeRandom[T any](rng *rand.Rand, all *[]T) (taken T, ok bool) {
	n := len(*all)
	if n == 0 {
		return taken, false
	}
	k := rng.IntN(n)
	taken = (*all)[k]
	*all = append((*all)[:k:k], (*all)[k+1:]...)
	return taken, true
}

// completeRead applies a read and returns the updates for the other instances.
func completeRead(e *Edge, p tableRead, now time.Duration) []evidence.TableUpdate {
	updates, _ := e.applyTableRead(p, now)
	return updates
}
