package lab

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"foxtailspoke/mechanism"
)

// Experiment compares two policies on the same deployments.
type Experiment struct {
	// Draws is the number of deployments, Seed the seed that they are drawn with.
	Draws int
	Seed  uint64
	// A and B are the mechanisms that each policy disables.
	A, B mechanism.Disabled
	// Draw draws a deployment; nil means Wide.Draw.
	Draw func(*rand.Rand) Deployment
}

// Outcome is the result of an experiment.
type Outcome struct {
	Measures []Comparison
	// Differences holds B minus A of each deployment, by measure.
	Differences [][]float64
}

// Comparison is one measure of both policies over all deployments.
type Comparison struct {
	Name string
	// A and B are the means.
	A, B float64
	// Difference is the mean of B minus A, Within half the width of its 95%
	// confidence interval.
	Difference, Within float64
	MoreIsBetter       bool
}

// Verdict names the better policy, or "same" if the confidence interval of the
// difference contains zero.
func (c Comparison) Verdict() string {
	switch {
	case math.Abs(c.Difference) <= c.Within:
		return "same"
	case (c.Difference > 0) == c.MoreIsBetter:
		return "B"
	default:
		return "A"
	}
}

// Run simulates all deployments, GOMAXPROCS of them at a time. The same settings
// give the same figures.
func (x Experiment) Run() Outcome {
	draw := x.Draw
	if draw == nil {
		draw = Wide.Draw
	}
	a, b := make([][]float64, x.Draws), make([][]float64, x.Draws)
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for n := range next {
				d := draw(rand.New(rand.NewPCG(x.Seed, uint64(n))))
				seed := x.Seed<<20 + uint64(n)
				a[n] = Simulate(d, x.A, seed).Values()
				b[n] = Simulate(d, x.B, seed).Values()
			}
		})
	}
	for n := range x.Draws {
		next <- n
	}
	close(next)
	workers.Wait()
	return compare(a, b)
}

func compare(a, b [][]float64) Outcome {
	var o Outcome
	for m, name := range MeasureNames {
		c := Comparison{Name: name, MoreIsBetter: HigherIsBetter[m]}
		var differences []float64
		for n := range a {
			c.A += a[n][m] / float64(len(a))
			c.B += b[n][m] / float64(len(b))
			differences = append(differences, b[n][m]-a[n][m])
		}
		c.Difference = stat.Mean(differences, nil)
		c.Within = halfWidth(differences)
		o.Measures = append(o.Measures, c)
		o.Differences = append(o.Differences, differences)
	}
	return o
}

// halfWidth returns half the width of the 95% confidence interval of the mean.
func halfWidth(x []float64) float64 {
	n := float64(len(x))
	if n < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
	return t.Quantile(0.975) * stat.StdErr(stat.StdDev(x, nil), n)
}
