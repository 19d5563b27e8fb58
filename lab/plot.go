package lab

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot writes the paired differences of all measures as boxes into a file,
// whose ending chooses the format (.png, .svg, .pdf). Differences above the
// zero line are B's larger figures, each measure in its own units.
func (o Outcome) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "paired differences, B less A"
	p.Y.Label.Text = "difference"
	for i, differences := range o.Differences {
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(i), plotter.Values(differences))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		p.Add(box)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(MeasureNames...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
