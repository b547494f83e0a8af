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
	plotWidth         = 16 * vg.Centimeter
	plotHeight        = 10 * vg.Centimeter
	legendEntryHeight = 0.07 // height of a legend entry, as a share of the y axis
	dotRadius         = 1    // points
)

// curve has the points that are drawn for one combination of the values of all factors but the last.
type curve struct {
	name      string
	means     plotter.XYs
	intervals plotter.YErrors // confidence intervals of the means
	dots      plotter.XYs     // one dot for each run
}

// Plot draws the measure name by the values of the last factor, with a line through the means for each combination of the other
// factors' values, a dot for each run, and the interval of each mean as an error bar. file is the path of the picture.
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
	picture.Y.Max += legendEntryHeight * float64(len(curves)) * (picture.Y.Max - picture.Y.Min) // space for the legend
	return picture.Save(plotWidth, plotHeight, file)
}

// addAxis labels the x axis with the last factor and returns the position of each of its values. If all values are numbers,
// possibly with a unit, these are the positions; otherwise the values are spaced evenly.
func (p *Plan) addAxis(picture *plot.Plot) map[string]float64 {
	if len(p.Factors) == 0 {
		return nil
	}
	factor := p.Factors[len(p.Factors)-1]
	picture.X.Label.Text = factor.Name
	positions := map[string]float64{}
	for _, value := range factor.Values {
		number, err := strconv.ParseFloat(strings.TrimRight(value, "%smx"), 64) // units: percent, seconds, milliseconds, multiples (x)
		if err != nil {
			return nominalAxis(picture, factor.Values)
		}
		positions[value] = number
	}
	return positions
}

// nominalAxis labels the x axis with values that are not numbers, and returns their positions.
func nominalAxis(picture *plot.Plot, values []string) map[string]float64 {
	positions := map[string]float64{}
	for i, value := range values {
		positions[value] = float64(i)
	}
	picture.NominalX(values...)
	return positions
}

// curves returns the curves of a measure, ordered by their first arm. positions has the x position of each value of the last
// factor.
func (p *Plan) curves(name string, runs []Run, positions map[string]float64) (curves []*curve) {
	byName := map[string]*curve{}
	findOrAdd := func(arm Arm) *curve {
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
			findOrAdd(row.Arm).addMean(position(row.Arm), row.Mean)
		}
	}
	for _, run := range runs {
		c := findOrAdd(run.Arm)
		c.dots = append(c.dots, plotter.XY{X: position(run.Arm), Y: run.Figures[name]})
	}
	return curves
}

// curveName returns the names and values of all factors but the last.
func (p *Plan) curveName(arm Arm) string {
	others := max(len(p.Factors)-1, 0)
	values := make([]string, 0, others)
	for i := range others {
		values = append(values, p.Factors[i].Name+"="+arm[i])
	}
	return strings.Join(values, " ")
}

// addMean adds a mean and its interval at an x position. An infinite interval is not drawn.
func (c *curve) addMean(x float64, mean Estimate) {
	c.means = append(c.means, plotter.XY{X: x, Y: mean.Mean})
	low, high := mean.Mean-mean.Low, mean.High-mean.Mean
	if math.IsInf(low, 0) || math.IsInf(high, 0) {
		low, high = 0, 0
	}
	c.intervals = append(c.intervals, struct{ Low, High float64 }{low, high})
}

// draw draws a curve. index is its position among the curves, which determines its color.
func (c *curve) draw(picture *plot.Plot, index int) error {
	lineColor := plotutil.Color(index)
	line, points, err := plotter.NewLinePoints(c.means)
	if err != nil {
		return err
	}
	line.Color, points.Color, points.Shape = lineColor, lineColor, draw.CircleGlyph{}
	errorBars, err := plotter.NewYErrorBars(struct {
		plotter.XYs
		plotter.YErrors
	}{c.means, c.intervals})
	if err != nil {
		return err
	}
	errorBars.Color = lineColor
	dots, err := plotter.NewScatter(c.dots)
	if err != nil {
		return err
	}
	dots.Color, dots.Radius, dots.Shape = lineColor, vg.Points(dotRadius), draw.CircleGlyph{}
	picture.Add(dots, line, points, errorBars)
	if c.name != "" {
		picture.Legend.Add(c.name, line)
	}
	return nil
}
