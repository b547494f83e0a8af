package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// fillRows makes all rows equally long: backends appear in the samples one after another.
func (f *Fleet) fillRows() {
	f.backends = max(f.backends, len(f.Utilization[0]))
	for _, rows := range [][][]float32{f.Capacity, f.Utilization, f.Queued} {
		for i := range rows {
			for len(rows[i]) < f.backends {
				rows[i] = append(rows[i], 0)
			}
		}
	}
}

// sampleTime is the middle of a sample's interval, in seconds from the start of the run.
func (f *Fleet) sampleTime(sample int) float64 { return (float64(sample) + 0.5) * f.SampleInterval }

// capacityPanel shows the capacity of all backends, and how much of it was used.
func (r *Report) capacityPanel() (*plot.Plot, error) {
	fleet := r.Fleet
	capacity, used := make(plotter.XYs, len(fleet.Capacity)), make(plotter.XYs, len(fleet.Capacity))
	top := 1.0
	for i := range fleet.Capacity {
		for backend, value := range fleet.Capacity[i] {
			capacity[i].Y += float64(value)
			used[i].Y += float64(value) * float64(fleet.Utilization[i][backend])
		}
		capacity[i].X, used[i].X = fleet.sampleTime(i), fleet.sampleTime(i)
		top = max(top, capacity[i].Y)
	}
	panel := r.newPanel("what the servers could do, and what was used of it", "RPCs a second", headroom*top)
	if err := addLine(panel, "able", blue, capacity); err != nil {
		return nil, err
	}
	return panel, addLine(panel, "used", green, used)
}

// backendPanel shows the use of each backend as a heat map.
func (f *Fleet) backendPanel(from, to float64) *plot.Plot {
	panel := plot.New()
	panel.Title.Text = "each server: white idle, green busy, amber to red a queue of up to a second, grey able to do nothing"
	panel.Y.Label.Text = "server"
	panel.X.Tick.Marker = secondTicks{}
	heatMap := plotter.NewHeatMap(useGrid{f}, usePalette{})
	heatMap.Min, heatMap.Max = 0, 2
	panel.Add(heatMap)
	panel.X.Min, panel.X.Max = from, to
	return panel
}

// useGrid has the use of each backend: a column for each sample, a row for each backend. It implements plotter.GridXYZ.
type useGrid struct{ fleet *Fleet }

func (g useGrid) Dims() (columns, rows int) {
	return len(g.fleet.Utilization), len(g.fleet.Utilization[0])
}
func (g useGrid) X(column int) float64 { return g.fleet.sampleTime(column) }
func (g useGrid) Y(row int) float64    { return float64(row) + 0.5 }

// Z is 0 for a backend without capacity, else from 1 for an idle one to 2 if all cores are busy and a second of work is queued.
func (g useGrid) Z(column, row int) float64 {
	capacity := g.fleet.Capacity[column][row]
	if capacity <= 0 {
		return 0
	}
	queued := 0.0 // seconds of work, up to 1
	if rpcs := float64(g.fleet.Queued[column][row]); rpcs > 0 {
		queued = min(1, rpcs/max(1, float64(capacity)))
	}
	return 1 + 0.5*float64(g.fleet.Utilization[column][row]) + 0.5*queued
}

// shades is the number of colours for each of the two halves of the palette.
const shades = 64

// usePalette is grey below 1, where a backend has no capacity, and goes from white over green and amber to red above. It
// implements palette.Palette.
type usePalette struct{}

// Colors implements palette.Palette.
func (usePalette) Colors() []color.Color {
	colors := make([]color.Color, 0, 2*shades)
	for range shades {
		colors = append(colors, color.RGBA{R: 90, G: 90, B: 100, A: 255})
	}
	stops := []color.RGBA{{255, 255, 255, 255}, {120, 190, 120, 255}, green, amber, red}
	for i := range shades {
		position := float64(i) / (shades - 1) * float64(len(stops)-1)
		stop := min(int(position), len(stops)-2)
		colors = append(colors, blend(stops[stop], stops[stop+1], position-float64(stop)))
	}
	return colors
}

// blend returns the colour between two; part is 0 for the first and 1 for the second.
func blend(from, to color.RGBA, part float64) color.RGBA {
	mix := func(a, b uint8) uint8 { return uint8(float64(a) + part*(float64(b)-float64(a))) }
	return color.RGBA{R: mix(from.R, to.R), G: mix(from.G, to.G), B: mix(from.B, to.B), A: 255}
}
