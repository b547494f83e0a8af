package report

import (
	"fmt"
	"image/color"
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gingerfork/internal/trace"
)

// seconds puts marks at round numbers of seconds, about ten of them.
type seconds struct{}

func (seconds) Ticks(from, to float64) (all []plot.Tick) {
	step := 1.0
	for _, s := range []float64{2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 21600} {
		if (to-from)/step <= 12 {
			break
		}
		step = s
	}
	for t := math.Ceil(from/step) * step; t <= to; t += step {
		all = append(all, plot.Tick{Value: t, Label: fmt.Sprintf("%g", t)})
	}
	return all
}

// grid shows servers' use as a map: a column a look, a row a server.
type grid struct{ f *Fleet }

func (g grid) Dims() (c, r int) { return len(g.f.Utilization), len(g.f.Utilization[0]) }
func (g grid) X(c int) float64  { return (float64(c) + 0.5) * g.f.SampleInterval }
func (g grid) Y(r int) float64  { return float64(r) + 0.5 }

// Z is 0 for a server that can do nothing, else from 1 (idle) to 2 (all cores busy, ten waiting for each second of work).
func (g grid) Z(c, r int) float64 {
	if g.f.Capacity[c][r] <= 0 {
		return 0
	}
	waits := 0.0
	if w := float64(g.f.Queued[c][r]); w > 0 {
		waits = min(1, w/max(1, float64(g.f.Capacity[c][r])))
	}
	return 1 + 0.5*float64(g.f.Utilization[c][r]) + 0.5*waits
}

// heat colours the map: grey where nothing can be done, then from white over green and amber to red.
type heat struct{}

func (heat) Colors() []color.Color {
	all := []color.Color{color.RGBA{R: 90, G: 90, B: 100, A: 255}}
	for len(all) < 64 {
		all = append(all, color.RGBA{R: 90, G: 90, B: 100, A: 255})
	}
	at := []color.RGBA{{255, 255, 255, 255}, {120, 190, 120, 255}, {46, 125, 50, 255}, {239, 140, 0, 255}, {198, 40, 40, 255}}
	for i := range 64 {
		x := float64(i) / 63 * float64(len(at)-1)
		k := min(int(x), len(at)-2)
		mix := func(a, b uint8) uint8 { return uint8(float64(a) + (x-float64(k))*(float64(b)-float64(a))) }
		all = append(all, color.RGBA{mix(at[k].R, at[k+1].R), mix(at[k].G, at[k+1].G), mix(at[k].B, at[k+1].B), 255})
	}
	return all
}

// panels draw what the servers could do beside what they did, and each server's use.
func (f *Fleet) panels(panel func(name, unit string, most float64) *plot.Plot) (able, use *plot.Plot, err error) {
	f.servers = max(f.servers, len(f.Utilization[0]))
	f.even()
	could, did := make(plotter.XYs, len(f.Capacity)), make(plotter.XYs, len(f.Capacity))
	top := 1.0
	for i := range f.Capacity {
		for s, a := range f.Capacity[i] {
			could[i].Y += float64(a)
			did[i].Y += float64(a) * float64(f.Utilization[i][s])
		}
		could[i].X, did[i].X = (float64(i)+0.5)*f.SampleInterval, (float64(i)+0.5)*f.SampleInterval
		top = max(top, could[i].Y)
	}
	able = panel("what the servers could do, and what was used of it", "RPCs a second", 1.25*top)
	for _, x := range []struct {
		name string
		xy   plotter.XYs
		c    color.Color
	}{{"able", could, blue}, {"used", did, green}} {
		l, err := plotter.NewLine(x.xy)
		if err != nil {
			return nil, nil, fmt.Errorf("draw what servers were %s: %w", x.name, err)
		}
		l.Color, l.Width = x.c, vg.Points(1.4)
		able.Add(l)
		able.Legend.Add(x.name, l)
	}
	use = plot.New()
	use.Title.Text = "each server: white idle, green busy, amber to red a queue of up to a second, grey able to do nothing"
	use.Y.Label.Text = "server"
	use.X.Tick.Marker = seconds{}
	m := plotter.NewHeatMap(grid{f}, heat{})
	m.Min, m.Max = 0, 2
	use.Add(m)
	use.X.Min, use.X.Max = able.X.Min, able.X.Max
	return able, use, nil
}

// glance takes what a server told of itself in a second.
func (k *Builder) glance(second int, x trace.Record) {
	f := k.Report.Fleet
	if f == nil {
		f = &Fleet{SampleInterval: 1}
		k.Report.Fleet = f
	}
	at := int(x.Backend) - 1
	if at < 0 || at >= 1<<16 {
		return
	}
	busy, err := strconv.ParseFloat(x.Text, 32)
	if err != nil {
		return
	}
	set := func(rows *[][]float32, v float64) {
		for len(*rows) <= second {
			*rows = append(*rows, make([]float32, f.servers))
		}
		row := &(*rows)[second]
		for len(*row) <= at {
			*row = append(*row, 0)
		}
		(*row)[at] = float32(v)
	}
	f.servers = max(f.servers, at+1)
	set(&f.Capacity, x.Value)
	set(&f.Utilization, busy)
	set(&f.Queued, float64(x.Count))
}

// even makes all rows as long as the longest: servers tell of themselves one after another.
func (f *Fleet) even() {
	for _, rows := range [][][]float32{f.Capacity, f.Utilization, f.Queued} {
		for i := range rows {
			for len(rows[i]) < f.servers {
				rows[i] = append(rows[i], 0)
			}
		}
	}
}
