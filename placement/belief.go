package placement

import (
	"math"
	"time"
)

// condition is what a server is believed to be in: well, partly failing, or in a
// spell in which most requests fail. It changes by itself, at rates that are known
// roughly, and every result says which of the three is likelier.
//
// A server that loses a third of its answers gives two good ones between two
// failures. Without the state between, these would restore full trust each time.
type condition struct {
	partly, spell float64
	at            time.Duration
}

const (
	// usuallyPartly and usuallySpell are the shares of servers when nothing is
	// known.
	usuallyPartly = 0.03
	usuallySpell  = 0.28
	// failsPartly, failsInSpell and failsOtherwise are the shares of requests that
	// fail at servers that fail partly, in spells, and otherwise.
	failsPartly    = 0.35
	failsInSpell   = 0.8
	failsOtherwise = 0.012
)

// unknown is the condition of a server that nothing is known of.
func unknown(t time.Duration) condition { return condition{usuallyPartly, usuallySpell, t} }

// ill is the probability that the server isn't well.
func (c condition) ill() float64 { return c.partly + c.spell }

// now returns the condition faded to the given time.
func (c condition) now(t time.Duration) condition {
	passed := t - c.at
	if passed <= 0 {
		return c
	}
	part := kept(c.ill() > usuallyPartly+usuallySpell, passed)
	return condition{
		partly: usuallyPartly + (c.partly-usuallyPartly)*part,
		spell:  usuallySpell + (c.spell-usuallySpell)*part,
		at:     t,
	}
}

const (
	// trust and suspicion are the times after which good and bad experience has
	// faded to a third. Trust in a server that isn't used must outlast the pauses
	// between requests, or all load stays on few servers; suspicion has to
	// outlast most of a spell, since each early try is probably lost.
	trust     = 9 * time.Second
	suspicion = 6 * time.Second
	// leastBelief and mostBelief keep a belief from becoming a certainty that no
	// result moves.
	leastBelief = 0.002
	mostBelief  = 0.995
)

// kept is the part of an experience that is left after some time.
func kept(suspected bool, passed time.Duration) float64 {
	fades := trust
	if suspected {
		fades = suspicion
	}
	return math.Exp(-max(float64(passed), 0) / float64(fades))
}

// likelihoods of a result in the three conditions, up to a common factor.
type likelihoods struct{ well, partly, spell float64 }

// learn takes in a result.
func (c *condition) learn(t time.Duration, l likelihoods) {
	n := c.now(t)
	well, partly, spell := (1-n.ill())*l.well, n.partly*l.partly, n.spell*l.spell
	sum := well + partly + spell
	c.partly = math.Max(partly/sum, leastBelief/2)
	c.spell = math.Max(spell/sum, leastBelief/2)
	if ill := c.ill(); ill > mostBelief {
		c.partly *= mostBelief / ill
		c.spell *= mostBelief / ill
	}
	c.at = t
}

// fails is the probability that a request sent now fails.
func (c condition) fails() float64 {
	return (1-c.ill())*failsOtherwise + c.partly*failsPartly + c.spell*failsInSpell
}

var (
	// answered are the likelihoods of a good answer.
	answered = likelihoods{1 - failsOtherwise, 1 - failsPartly, 1 - failsInSpell}
	// unreachable are those of no connection, which tells more of the path than of
	// the server.
	unreachable = likelihoods{well: 0.06, partly: 0.1, spell: 0.3}
)
