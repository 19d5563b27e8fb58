package placement

import (
	"math"
	"time"
)

// path holds the probability that the network path between this instance and a server
// is down. Everything that this instance sends is then lost, while other instances
// still reach the server; the path recovers by itself.
type path struct {
	down float64
	at   time.Duration
}

// priorPathDown is the share of paths that are down, assumed when nothing is known.
const priorPathDown = 0.01

// pathLikelihood of a result over a path that is down and over one that is up.
type pathLikelihood struct{ down, up float64 }

var (
	noAnswerPathLikelihood = pathLikelihood{0.9, 0.03}
	successPathLikelihood  = pathLikelihood{0.1, 0.97}
)

// downProbability returns the probability at the given time, decayed towards the
// prior.
func (p path) downProbability(t time.Duration) float64 {
	return priorPathDown + (p.down-priorPathDown)*decayFactor(p.down > priorPathDown, t-p.at)
}

// update applies Bayes' rule for a result with the given likelihoods.
func (p *path) update(t time.Duration, l pathLikelihood) {
	down := p.downProbability(t)
	down = down * l.down / (down*l.down + (1-down)*l.up)
	p.down = math.Min(math.Max(down, minProbability), maxProbability)
	p.at = t
}
