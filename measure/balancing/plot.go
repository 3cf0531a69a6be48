package balancing

import (
	"image/color"
	"os"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plottedPolicies are the policies in the plot and their colours.
var plottedPolicies = []struct {
	policy string
	colour color.RGBA
}{
	{policyNever, color.RGBA{R: 140, G: 140, B: 140, A: 255}},
	{policyGreedy, color.RGBA{R: 200, G: 60, B: 40, A: 255}},
	{policyThreshold, color.RGBA{R: 230, G: 150, B: 20, A: 255}},
	{policyNawras, color.RGBA{R: 30, G: 90, B: 180, A: 255}},
	{policyHaneul, color.RGBA{R: 20, G: 140, B: 90, A: 255}},
	{policyOfflineNawras, color.RGBA{R: 130, G: 60, B: 160, A: 255}},
}

// legendMargin is the space for the legend above the highest point, as a fraction
// of the range of the points.
const legendMargin = 0.25

// writePlot plots p99 skew against bytes loaded, with one point for each policy
// and workload and one panel for each size.
func writePlot(path string, results []Result) error {
	const width, height = 9 * vg.Inch, 4 * vg.Inch
	canvas := vgsvg.New(width, height)
	sizes := Sizes()
	tiles := draw.Tiles{Rows: 1, Cols: len(sizes), PadX: vg.Points(10), PadY: vg.Points(4)}
	for i, size := range sizes {
		p, err := panel(size.Name, results)
		if err != nil {
			return trace.Wrap(err)
		}
		p.Draw(tiles.At(draw.New(canvas), i, 0))
	}
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(file.Close())
}

// panel returns the plot of one size.
func panel(size string, results []Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = size
	p.X.Label.Text = "GB loaded in the hour, plus one"
	p.Y.Label.Text = "p99 of busiest rank over mean"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = font.Length(7)
	for _, series := range plottedPolicies {
		var points plotter.XYs
		for _, r := range results {
			if r.Size == size && r.Policy == series.policy {
				points = append(points, plotter.XY{X: r.Gigabytes + 1, Y: r.SkewP99})
			}
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		scatter.Color = series.colour
		scatter.Shape = draw.CircleGlyph{}
		p.Add(scatter)
		p.Legend.Add(series.policy, scatter)
	}
	p.Y.Max += legendMargin * (p.Y.Max - p.Y.Min)
	return p, nil
}
