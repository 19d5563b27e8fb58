package lab

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot writes a box plot of the paired differences of all measures. The extension
// of the file selects the format (.png, .svg, .pdf). Values above zero mean that B's
// figure is higher, each measure in its own unit.
func (o Outcome) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "paired differences, B minus A"
	p.Y.Label.Text = "difference"
	for i, differences := range o.Differences {
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(i), plotter.Values(differences))
		if err != nil {
			return errors.Wrap(err, "plot: box plot")
		}
		p.Add(box)
	}
	p.Add(plotter.NewGrid())
	p.NominalX(MeasureNames...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot: write file")
}
