package experiment

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth    = 16 * vg.Centimeter
	plotHeight   = 10 * vg.Centimeter
	legendHeight = 0.07 // of an entry, as a share of the axis
	dotRadius    = 1    // points
)

// curve is the line of one combination of all factors but the last.
type curve struct {
	name  string
	means plotter.XYs
	bars  plotter.YErrors // the intervals of the means
	runs  plotter.XYs
}

// Plot draws a measure over the values of the last factor: a line for each combination of the others, each run as a dot, and the
// interval of each mean as a bar.
func (p *Plan) Plot(file, name string, runs []Run) error {
	picture := plot.New()
	picture.Title.Text = p.Name + ": " + name
	picture.Y.Label.Text = strings.TrimSpace(name + " " + measures[name].unit)
	picture.Add(plotter.NewGrid())
	curves := p.curves(name, runs, p.addAxis(picture))
	for i, c := range curves {
		if err := c.draw(picture, i); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	picture.Legend.Top, picture.Legend.Left = true, true
	picture.Y.Max += legendHeight * float64(len(curves)) * (picture.Y.Max - picture.Y.Min) // room for the legend
	return picture.Save(plotWidth, plotHeight, file)
}

// addAxis labels the axis of the last factor and returns where each of its values lies: at its number if all values are numbers,
// else at its position.
func (p *Plan) addAxis(picture *plot.Plot) map[string]float64 {
	if len(p.Factors) == 0 {
		return nil
	}
	factor := p.Factors[len(p.Factors)-1]
	picture.X.Label.Text = factor.Name
	positions := map[string]float64{}
	for _, value := range factor.Values {
		number, err := strconv.ParseFloat(strings.TrimRight(value, "%smx"), 64) // percent, seconds, milliseconds, times
		if err != nil {
			return nominalAxis(picture, factor.Values)
		}
		positions[value] = number
	}
	return positions
}

func nominalAxis(picture *plot.Plot, values []string) map[string]float64 {
	positions := map[string]float64{}
	for i, value := range values {
		positions[value] = float64(i)
	}
	picture.NominalX(values...)
	return positions
}

// curves returns the curves of a measure in the order in which arms come first.
func (p *Plan) curves(name string, runs []Run, positions map[string]float64) (curves []*curve) {
	byName := map[string]*curve{}
	find := func(arm Arm) *curve {
		title := p.curveName(arm)
		if byName[title] == nil {
			byName[title] = &curve{name: title}
			curves = append(curves, byName[title])
		}
		return byName[title]
	}
	position := func(arm Arm) float64 {
		if len(arm) == 0 {
			return 0
		}
		return positions[arm[len(arm)-1]]
	}
	for _, row := range p.Rows(runs) {
		if row.Measure == name && row.Mean.Count > 0 {
			find(row.Arm).addMean(position(row.Arm), row.Mean)
		}
	}
	for _, run := range runs {
		c := find(run.Arm)
		c.runs = append(c.runs, plotter.XY{X: position(run.Arm), Y: run.Figures[name]})
	}
	return curves
}

// curveName names the values of all factors but the last.
func (p *Plan) curveName(arm Arm) string {
	others := max(len(p.Factors)-1, 0)
	values := make([]string, 0, others)
	for i := range others {
		values = append(values, p.Factors[i].Name+"="+arm[i])
	}
	return strings.Join(values, " ")
}

func (c *curve) addMean(x float64, mean Estimate) {
	c.means = append(c.means, plotter.XY{X: x, Y: mean.Mean})
	low, high := mean.Mean-mean.Low, mean.High-mean.Mean
	if math.IsInf(low, 0) || math.IsInf(high, 0) {
		low, high = 0, 0
	}
	c.bars = append(c.bars, struct{ Low, High float64 }{low, high})
}

// draw adds a curve to a picture; its position among the curves gives its colour.
func (c *curve) draw(picture *plot.Plot, position int) error {
	lineColor := plotutil.Color(position)
	line, points, err := plotter.NewLinePoints(c.means)
	if err != nil {
		return err
	}
	line.Color, points.Color, points.Shape = lineColor, lineColor, draw.CircleGlyph{}
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYs
		plotter.YErrors
	}{c.means, c.bars})
	if err != nil {
		return err
	}
	bars.Color = lineColor
	dots, err := plotter.NewScatter(c.runs)
	if err != nil {
		return err
	}
	dots.Color, dots.Radius, dots.Shape = lineColor, vg.Points(dotRadius), draw.CircleGlyph{}
	picture.Add(dots, line, points, bars)
	if c.name != "" {
		picture.Legend.Add(c.name, line)
	}
	return nil
}
