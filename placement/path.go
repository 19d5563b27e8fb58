package placement

import (
	"math"
	"time"
)

// path is the belief that the network between this instance and a server is cut.
// A cut path loses everything that this instance sends, while others reach the
// server as before; it mends by itself.
type path struct {
	cut float64
	at  time.Duration
}

// usuallyCut is the share of paths that are cut when nothing is known.
const usuallyCut = 0.01

// pathLikelihood of a result over a path that is cut and over one that isn't.
type pathLikelihood struct{ cut, well float64 }

var (
	silentPathIs = pathLikelihood{0.9, 0.03}
	goodPathIs   = pathLikelihood{0.1, 0.97}
)

// now returns the probability faded to the given time.
func (p path) now(t time.Duration) float64 {
	return usuallyCut + (p.cut-usuallyCut)*kept(p.cut > usuallyCut, t-p.at)
}

// learn takes in a result.
func (p *path) learn(t time.Duration, l pathLikelihood) {
	cut := p.now(t)
	cut = cut * l.cut / (cut*l.cut + (1-cut)*l.well)
	p.cut = math.Min(math.Max(cut, leastBelief), mostBelief)
	p.at = t
}
