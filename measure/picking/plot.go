package picking

import (
	"image/color"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// drawComparison plots the p95 time to first token of each policy in each scenario
// on a logarithmic axis.
func drawComparison(jobs []*job, path string) error {
	p := plot.New()
	p.Title.Text = "Time to first token, p95, by policy"
	p.Y.Label.Text = "milliseconds (logarithmic)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plainTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	p.Legend.Padding = vg.Points(3)
	var names []string
	for _, sc := range scenarios() {
		names = append(names, sc.name)
	}
	for i, policy := range comparedPolicies() {
		if err := addPolicy(p, i, policy.name, jobs); err != nil {
			return err
		}
	}
	p.NominalX(names...)
	p.X.Max = float64(len(names)) - 0.5
	p.X.Min = -0.5
	p.Y.Min, p.Y.Max = 100, 1e6
	return p.Save(24*vg.Centimeter, 14*vg.Centimeter, path)
}

// plainTicks are logarithmic ticks with labels in decimal notation.
type plainTicks struct{}

// Ticks implements plot.Ticker.
func (plainTicks) Ticks(least, most float64) []plot.Tick {
	ticks := plot.LogTicks{Prec: -1}.Ticks(least, most)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'f', -1, 64)
		}
	}
	return ticks
}

// addPolicy plots the points of the i-th policy, shifted horizontally so that the
// policies do not overlap.
func addPolicy(p *plot.Plot, i int, name string, jobs []*job) error {
	const step = 0.08
	shift := (float64(i) - float64(len(comparedPolicies())-1)/2) * step
	var points plotter.XYs
	for _, j := range jobs {
		if j.policy.name == name {
			points = append(points, plotter.XY{X: float64(len(points)) + shift, Y: j.mean.firstTokenP95})
		}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	shapes := []draw.GlyphDrawer{draw.RingGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}, draw.PyramidGlyph{}, draw.BoxGlyph{}, draw.CircleGlyph{}}
	scatter.Shape = shapes[i%len(shapes)]
	scatter.Radius = vg.Points(4)
	scatter.Color = color.Gray{Y: 110}
	if name == lilackeelName {
		scatter.Color = color.RGBA{R: 120, G: 60, B: 180, A: 255}
	}
	p.Add(scatter)
	p.Legend.Add(name, scatter)
	return nil
}
