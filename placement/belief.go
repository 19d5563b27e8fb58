package placement

import (
	"math"
	"time"
)

// belief is the probability that a server is in a spell of failures, kept as
// a two-state model: servers go from well to failing and back by themselves,
// at rates that are known roughly, and every result of a request says which
// of both is likelier.
type belief struct {
	failing float64
	at      time.Duration
}

// Spells of failures as they were observed: about 30% of the servers of a
// service are in one at any time, a spell lasts about nine seconds, rarely
// twice that, and of the requests sent meanwhile about four fifths fail. A
// server that is well stays so for about half a minute.
const (
	// usuallyFailing is the share of servers that fail when nothing is known.
	usuallyFailing = 0.3
	// trustFades and suspicionFades are the times after which good and bad
	// experience has faded to a third. Trust in a server that isn't used must
	// outlast the pauses between requests, or all load stays on few servers;
	// suspicion has to outlast most of a spell, since each early try is
	// probably lost.
	trustFades     = 9 * time.Second
	suspicionFades = 6 * time.Second
	// failsInSpell is the share of requests that fail in a spell.
	failsInSpell = 0.8
	// failsOtherwise is the share that fails at a server that is well.
	failsOtherwise = 0.012
	// lateInSpell and lateOtherwise are how often a request is late so far
	// that it is taken for hanging.
	lateInSpell   = 0.3
	lateOtherwise = 0.03
	// bounds keep a belief from becoming a certainty that no result moves.
	leastBelief = 0.004
	mostBelief  = 0.995
)

// now returns the probability faded to the given time.
func (b belief) now(t time.Duration) float64 {
	passed := t - b.at
	if passed <= 0 {
		return b.failing
	}
	fades := trustFades
	if b.failing > usuallyFailing {
		fades = suspicionFades
	}
	kept := math.Exp(-float64(passed) / float64(fades))
	return usuallyFailing + (b.failing-usuallyFailing)*kept
}

// learn takes in a result that has the given probabilities in a spell and
// otherwise.
func (b *belief) learn(t time.Duration, inSpell, otherwise float64) {
	p := b.now(t)
	p = p * inSpell / (p*inSpell + (1-p)*otherwise)
	b.failing = math.Min(math.Max(p, leastBelief), mostBelief)
	b.at = t
}

// fails is the probability that a request sent now fails.
func (b belief) fails(t time.Duration) float64 {
	p := b.now(t)
	return p*failsInSpell + (1-p)*failsOtherwise
}
